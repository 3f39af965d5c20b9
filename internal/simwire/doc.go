// Package simwire implements the simulator's text protocol. It decodes messages into events of package decide and
// encodes decide's actions as reply lines. It makes no decisions.
//
// A line consists of a message name and name=value fields, separated by tabs. A batch is a FRAME line with the clock
// and the batch's number, any number of messages, and COMMIT. The reply to a batch is any number of action lines and
// a NEXT line with the batch's number. The simulator defines the names of the messages and fields.
package simwire
