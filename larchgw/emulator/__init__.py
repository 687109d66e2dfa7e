"""Models of boxes, vault, discovery, network and clients, in virtual time and on loopback sockets."""
