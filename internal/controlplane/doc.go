// Package controlplane replicates the operators' document over TCP. The document sets the discovery address and
// the endpoint list of all balancers. A few control-plane servers distribute it. One of them is the leader: it
// reads the document from a file and publishes it as the next version. Each server sends the document to its
// followers, which are balancers and other control-plane servers. Each connection is authenticated with shared
// keys.
//
// In this package, "server" means a control-plane server. The servers that clients are balanced over are called
// room servers or endpoints.
//
// Package replica holds the versions, decides which changes or snapshot a follower receives, and selects the server
// that a follower connects to.
package controlplane
