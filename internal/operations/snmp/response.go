package snmp

import "github.com/gosnmp/gosnmp"

const (
	// maxResponseBytes is the maximum size of a response, except for the known fault of respondToBulk. On most paths
	// such a datagram is not fragmented.
	maxResponseBytes = 1400
	// maxBulkBindings is the maximum number of variable bindings in the response to a GetBulkRequest.
	maxBulkBindings = 64
)

// respond returns the response to a request. It returns nil if there must be no response: the request is malformed, has
// another version or community, or an unsupported type, or the response cannot be encoded.
func (a *Agent) respond(raw []byte) []byte {
	request := a.decode(raw)
	if request == nil || request.Version != gosnmp.Version2c || request.Community != a.community {
		return nil
	}
	response := &gosnmp.SnmpPacket{
		Version:   gosnmp.Version2c,
		Community: a.community,
		PDUType:   gosnmp.GetResponse,
		RequestID: request.RequestID,
	}
	view := newView(a.name, a.classes, a.snapshot(), a.detailed)
	switch request.PDUType {
	case gosnmp.GetRequest:
		for _, v := range request.Variables {
			response.Variables = append(response.Variables, view.get(v.Name))
		}
	case gosnmp.GetNextRequest:
		for _, v := range request.Variables {
			response.Variables = append(response.Variables, view.next(v.Name))
		}
	case gosnmp.GetBulkRequest:
		return a.respondToBulk(view, request, response)
	case gosnmp.SetRequest:
		response.Variables, response.Error, response.ErrorIndex = request.Variables, gosnmp.NotWritable, 1
	default:
		return nil
	}
	encoded := a.encode(response)
	if len(encoded) > maxResponseBytes {
		response.Variables, response.Error, response.ErrorIndex = nil, gosnmp.TooBig, 0
		encoded = a.encode(response)
	}
	return encoded
}

// respondToBulk returns the response to a GetBulkRequest, with as many of the requested repetitions as fit into it (RFC
// 3416, section 4.2.3).
//
// Known fault: the variable bindings of the non-repeaters are not limited. With many of them, the response exceeds
// maxResponseBytes and maxBulkBindings.
func (a *Agent) respondToBulk(view *mibView, request, response *gosnmp.SnmpPacket) []byte {
	nonRepeaters := min(int(request.NonRepeaters), len(request.Variables))
	for _, v := range request.Variables[:nonRepeaters] {
		response.Variables = append(response.Variables, view.next(v.Name))
	}
	var repeaters []string
	for _, v := range request.Variables[nonRepeaters:] {
		repeaters = append(repeaters, v.Name)
	}
	encoded := a.encode(response)
	for i := uint32(0); i < request.MaxRepetitions && len(repeaters) > 0; i++ {
		allEnded := true
		for k, name := range repeaters {
			v := view.next(name)
			repeaters[k] = v.Name
			allEnded = allEnded && v.Type == gosnmp.EndOfMibView
			response.Variables = append(response.Variables, v)
		}
		longer := a.encode(response)
		if len(longer) > maxResponseBytes || len(response.Variables) > maxBulkBindings {
			return encoded
		}
		encoded = longer
		if allEnded {
			break
		}
	}
	return encoded
}

// decode returns the decoded request, or nil if it cannot be decoded. It recovers from panics, because some malformed
// requests make the codec panic.
func (a *Agent) decode(raw []byte) (request *gosnmp.SnmpPacket) {
	defer func() {
		if r := recover(); r != nil {
			request = nil
		}
	}()
	request, err := a.codec.SnmpDecodePacket(raw)
	if err != nil {
		return nil
	}
	return request
}

// encode returns the encoded response, or nil if it cannot be encoded.
func (a *Agent) encode(response *gosnmp.SnmpPacket) []byte {
	raw, err := response.MarshalMsg()
	if err != nil {
		a.log.WithError(err).Error("snmp: cannot encode a response")
		return nil
	}
	return raw
}
