// Calls between the processes of the system. `thrift --gen py` writes larchgw/rpc/generated from it;
// see larchgw/rpc/README.md. Times are milliseconds. Fields are only ever added, never renumbered.
namespace py larchgw.rpc.generated

// ---- Distribution: a registry of versioned entries that every process replicates ----

// One value of the replicated registry. Of two entries with one key the higher (major, minor) wins.
// (origin, sequence) says which process accepted it and as which of its updates.
struct Entry {
  1: string key
  2: i64 major
  3: i32 minor
  4: string origin
  5: i64 sequence
  6: binary value
}

// Requests the entries that the caller's version vector `have` lacks; waits up to wait_ms if there are none.
struct PullRequest {
  1: string node_name
  2: map<string, i64> have
  3: i32 wait_ms
  4: list<string> prefixes  // prefixes of the keys requested; empty: all
  5: bool own_changes_only  // wait for changes made by the answering process alone; others come with the next pull
}

// `upto` is the caller's version vector once it has merged `entries`.
struct PullReply {
  1: list<Entry> entries
  2: map<string, i64> upto
  3: bool more              // the reply was truncated at its size limit: pull again at once
  4: bool isolated          // this control process is partitioned from the majority: pull from another
  5: list<string> control   // "host:port" rpc addresses of the control processes known now
}

struct PushRequest {
  1: string node_name
  2: list<Entry> entries
}

struct PushReply {
  1: map<string, i64> have
}

// ---- Demand and placement ----

// Demand that one dispatcher observed for one model or adapter since its last report.
struct ModelDemand {
  1: string service_name
  2: string model
  3: string adapter         // empty: the model without an adapter
  4: i32 arrivals           // requests that came in the interval
  5: i32 waiting            // requests that wait now for the model to be loaded
  6: i32 in_flight          // requests at runners now
  7: i32 urgency_ms         // shortest time left of a waiting request; 0: none waits
  8: double worth           // sum of the arrivals' priority weights (rank based)
}

struct DemandReport {
  1: string node_name
  2: i32 interval_ms
  3: list<ModelDemand> models
}

// ---- Replication of control state ----

struct View {
  1: i64 epoch
  2: string primary
  3: list<string> backups   // in-sync replicas: each holds every acknowledged record
  4: list<string> witnesses
  5: map<string, string> addresses  // member -> "host:port" of its rpc
}

// One message of the replication or lease protocol. `kind` and `body` are defined by larchgw/replication
// (messages.py, message_codec.py); rpc does not interpret them.
struct PeerMessage {
  1: string sender
  2: string receiver
  3: string kind
  4: binary body
}

// ---- The operator's calls, forwarded to the primary ----

struct OperatorCall {
  1: string operation       // "replace", "change", "read"
  2: i64 built_on           // base version, of the header X-Built-On; -1: not given
  3: binary body
}

struct OperatorAnswer {
  1: i32 status             // HTTP status; 503: outcome unknown or no primary
  2: binary body
  3: string primary         // member id of the primary that replied; empty: no primary here
}

// ---- Status, for people ----

// One process as membership sees it.
struct ProcessStatus {
  1: string name
  2: string role            // "edge" or "control"
  3: string address         // of its membership socket
  4: string zone
  5: string state           // "alive", "suspect", "dead", "left"
}

// The data folder of the process that answers.
struct DiskStatus {
  1: i64 log_bytes          // segments and snapshot
  2: i64 first_index        // lowest record after the snapshot
  3: i64 last_index
  4: i64 durable_index      // records up to this one survive a loss of power
  5: i64 free_bytes         // free in the file system; -1: not known
  6: bool has_reserve       // space is reserved for epochs and views
}

// Demand for one model with its adapters, and where it is.
struct ModelStatus {
  1: string service_name
  2: string model
  3: double rate            // requests a second
  4: i32 waiting            // requests that wait for a load
  5: i32 in_flight          // requests at runners
  6: list<string> holders   // runners
  7: list<string> coming    // runners that are loading it
}

// One order that is under way.
struct OrderStatus {
  1: string runner
  2: string action          // "loading", "unloading"
  3: string name            // model or model/adapter
  4: i32 age_ms             // since it was sent
  5: bool accepted          // the runner acknowledged it
}

struct PlacementStatus {
  1: i64 fence              // fencing token of the placer's lease
  2: i32 load_limit         // loads from the weight store that may begin in one window
  3: i32 load_room          // of these, how many may begin now (load rate limit)
  4: list<ModelStatus> models
  5: list<OrderStatus> orders
}

struct ControlStatus {
  1: string node_name
  2: string identity        // of its replication member; changes after the disk was lost
  3: string role            // in the replicated log: "learner", "backup", "primary"
  4: optional View view
  5: i64 config_version     // committed and applied here; 0: none
  6: i64 committed_index
  7: bool isolated          // partitioned from the majority of the control processes
  8: list<ProcessStatus> processes
  9: string placer          // rpc address of the placer; empty: not known
  10: i64 placer_fence      // fencing token of its lease
  11: map<string, i32> runners  // stage -> how many are known here
  12: DiskStatus disk
  13: optional PlacementStatus placement  // only at the placer, if requested
}

struct StatusRequest {
  1: bool placement         // include the placement
}

exception Unavailable {
  1: string reason
  2: string remedy
}

service Control {
  PullReply pull(1: PullRequest request) throws (1: Unavailable unavailable)
  PushReply push(1: PushRequest request) throws (1: Unavailable unavailable)
  void demand(1: DemandReport report) throws (1: Unavailable unavailable)
  OperatorAnswer submit(1: OperatorCall call) throws (1: Unavailable unavailable)
  oneway void deliver(1: PeerMessage message)
  ControlStatus status(1: StatusRequest request)
}
