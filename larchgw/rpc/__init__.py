"""Calls between the processes of the system: thrift messages in length-prefixed frames over TCP.

`client.RpcClient` calls one process, `server.RpcServer` serves calls, `errors` tells why a call failed.
`larchgw.thrift` defines methods and structs, `generated` is what the thrift compiler makes of it.
"""
