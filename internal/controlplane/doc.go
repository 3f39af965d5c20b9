// Package controlplane replicates the operator's document over TCP. The leader publishes the operator's file
// as the next version of the document. Servers send the document to followers: to balancers, and to other
// servers. Each connection is authenticated with shared keys.
//
// Package replica holds the versions, decides what a follower is sent, and selects the server that it
// connects to.
package controlplane
