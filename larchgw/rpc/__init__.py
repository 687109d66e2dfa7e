"""RPC between the processes of the system: Thrift messages in length-prefixed frames over TCP.

`client.RpcClient` calls one process, `server.RpcServer` serves calls, `errors` defines why calls fail.
`larchgw.thrift` defines methods and structs; `generated` is the output of the Thrift compiler.
"""
