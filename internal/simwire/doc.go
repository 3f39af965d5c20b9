// Package simwire reads the simulator's text frames as events of package decide, and writes its actions as reply
// lines. It makes no decision.
//
// A line is a message name and name=value fields, separated by tabs. A batch is a FRAME line with the clock and the
// batch's number, any number of messages, and COMMIT; its reply is any number of action lines and NEXT. Message and
// field names are the simulator's.
package simwire
