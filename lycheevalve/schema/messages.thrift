// Messages between the processes of one site.
//
// Every frame carries a kind of `Kind`, a `Header` and the struct of the same name.
// Times are milliseconds, sizes are bytes, keys are the flow keys of flows/keys.py.

namespace py messages

include "settings.thrift"

enum Kind {
  PING = 1
  ACK = 2
  PING_REQUEST = 3
  SYNC = 4
  REGISTRATIONS = 5
  CLAIM = 6
  CLAIM_ACK = 7
  PIN_QUERY = 8
  PIN_ANSWER = 9
  PINS = 10
  PINS_ACK = 11
  DIGEST = 12
  FETCH = 13
  FETCHED = 14
  VOTE_REQUEST = 15
  VOTE = 16
  APPEND = 17
  APPENDED = 18
  INSTALL = 19
  PROBE = 20
  PROBED = 21
  READMIT = 22
  CHANGE = 23
  CHANGE_RESULT = 24
  STATUS_REQUEST = 25
  STATUS = 26
  FLOW_REQUEST = 27
  FLOW = 28
  FAILURE = 29
  GREETING = 30
  CHANGE_MEMBERS = 31
  LEASE_QUERY = 32
  POLL = 33
  NEWS = 34
  READ_REQUEST = 35
  READ_RESULT = 36
  ABDICATE = 37
}

struct Header {
  1: string sender
  2: i64 incarnation
  3: i64 sequence
}

struct Member {
  1: string name
  2: string data_centre
  3: string address
  4: i64 incarnation
  5: i32 state
  6: i64 refutation
  7: i64 applied
}

struct Ping {
  1: i64 number
  2: list<Member> gossip
  3: string origin
  4: i64 applied
  5: i64 held
}

struct Ack {
  1: i64 number
  2: list<Member> gossip
  3: i64 applied
  4: i64 held
}

struct PingRequest {
  1: i64 number
  2: string target
}

struct Registration {
  1: string service_name
  2: string address
  3: string data_centre
  4: i64 incarnation
  5: i64 sequence
  6: i32 lifetime_ms
  7: i32 slots
  8: i32 connections
  9: i32 busy
  10: i32 queued
  11: i32 sessions
  12: bool draining
  13: bool leaving
  // Time since the sender received the first registration of this incarnation.
  14: i64 known_ms
  // Name of the upstream; empty if it has none.
  15: string name
  // Remaining warm-up time after the upstream's start.
  16: i32 warm_up_ms
}

struct Sync {
  1: list<Member> members
  2: list<Registration> registrations
  3: bool reply_wanted
}

struct Registrations {
  1: list<Registration> registrations
}

struct LeaseQuery {
  1: list<string> addresses
}

struct Claim {
  1: i64 number
  2: list<i64> keys
  // Name and incarnation, joined by flows/claims.py.
  3: string holder
}

struct ClaimAck {
  1: i64 number
  2: list<i64> taken
  3: list<string> holders
  4: bool informed
  5: list<i64> recorded
}

struct PinQuery {
  1: i64 key
}

struct PinAnswer {
  1: i64 key
  2: bool known
  3: string upstream
  4: i64 incarnation
  // Instance to ask instead, if the sender doesn't have the pin.
  5: string refer_to
}

struct UpstreamPins {
  1: string upstream
  2: i64 incarnation
  3: binary keys
}

struct Pins {
  1: i64 number
  2: list<UpstreamPins> pins
  3: list<i64> claims
  4: list<string> holders
  // With this message the receiver has all claims of its groups.
  5: bool claims_complete
  6: bool backup
  // With this message the receiver has all pins of the shards that it took over.
  7: bool pins_complete
  // The receiver's previous incarnation ended without a handover.
  8: bool former_life_lost
}

struct PinsAck {
  1: i64 number
  // Keys whose shards the receiver does not own.
  2: list<i64> refused
}

struct Digest {
  1: i64 applied
  2: i64 held
}

struct Change {
  1: string change_id
  2: i64 base_revision
  3: list<settings.Service> puts
  4: list<string> deletes
  5: list<string> drains
  6: list<string> undrains
  7: string author
  8: bool ignore_base
  // Revision number that operators assign to `document`, a whole configuration in their
  // own format; the highest number wins.
  9: i64 target_revision
  10: binary document
  // Data centres to evacuate and to restore.
  11: list<string> evacuates
  12: list<string> restores
  // The evacuations are numbered apart from the revision, which operators assign.
  13: bool keeps_revision
}

// The evacuated data centres: their upstreams get no new work. `number` counts the accepted
// orders that changed them; the highest holds.
struct Evacuations {
  1: i64 number
  2: list<string> data_centres
}

struct ChangeResult {
  1: string change_id
  2: i32 outcome
  3: i64 revision
  4: string winner
  5: string reason
}

struct Configuration {
  1: i64 revision
  2: list<settings.Service> services
  3: list<string> drained
  // The operators' document, compressed; empty if there is none.
  4: binary document
  5: Evacuations evacuations
}

// Author of a revision, named in the refusal of changes that conflict with it.
struct Acceptance {
  1: i64 revision
  2: string change_id
  3: string author
}

struct Entry {
  1: i64 index
  2: i64 term
  3: i32 kind
  4: Change change
  5: list<string> members
}

struct Snapshot {
  1: i64 index
  2: i64 term
  3: list<string> members
  4: Configuration configuration
  5: list<ChangeResult> results
  6: list<Acceptance> acceptances
}

struct HardState {
  1: i64 term
  2: string voted_for
  3: bool recovering
  4: i64 incarnation
}

struct Fetch {
  1: i64 revision
}

struct Fetched {
  1: bool whole
  2: Configuration configuration
  3: list<Change> changes
  4: i64 revision
}

struct VoteRequest {
  1: i64 term
  2: i64 last_index
  3: i64 last_term
  4: bool pre
}

struct Vote {
  1: i64 term
  2: bool granted
  3: bool pre
}

struct Append {
  1: i64 term
  2: i64 previous_index
  3: i64 previous_term
  4: list<Entry> entries
  5: i64 commit
  6: i64 round
}

struct Appended {
  1: i64 term
  2: bool success
  3: i64 match
  4: i64 round
  5: bool recovering
  6: i64 incarnation
}

struct Install {
  1: i64 term
  2: Snapshot snapshot
  3: i64 round
}

struct Probe {
  1: i64 nonce
}

struct Probed {
  1: i64 nonce
  2: bool empty
  3: i64 incarnation
}

struct Readmit {
  1: i64 term
  2: i64 incarnation
}

struct ChangeMembers {
  1: string change_id
  2: string add
  3: string remove
}

struct StatusRequest {
  1: bool wait_for_replicas
}

struct InstanceStatus {
  1: string name
  2: string data_centre
  3: string state
  4: i64 applied
  5: string role
}

struct UpstreamStatus {
  1: Registration registration
  2: string state
  3: i32 flows
  4: i32 outstanding
}

struct BurnWindow {
  1: string service_name
  2: string data_centre
  3: i64 window_ms
  4: i64 good
  5: i64 bad
  6: double target
}

struct Status {
  1: string instance
  2: string leader
  3: i64 accepted
  4: list<InstanceStatus> instances
  5: list<UpstreamStatus> upstreams
  6: Configuration configuration
  7: list<string> replicas
  8: list<BurnWindow> burn
}

struct FlowRequest {
  1: string caller
  2: string front_door
}

struct Flow {
  1: string key
  2: i32 shard
  3: list<string> owners
  4: string upstream
  5: string reason
}

struct Failure {
  1: string step
  2: string peer
  3: string reason
}

struct Greeting {
  1: binary nonce
}

// Sent by the leader of `term` when it leaves: the receiver starts an election at once.
struct Abdicate {
  1: i64 term
}

// Long poll with the subscriber's state; answered at an update or after a timeout.
struct Poll {
  1: string address
  2: string data_centre
  3: bool is_control
  4: i64 applied
  5: i64 held
  // The feed that `version` belongs to.
  6: i64 feed
  7: i64 version
  8: i64 process
  // Highest revision that the polled source has reported.
  9: i64 told
  // Renewals of leases are left out; a lease holds until the source reports its expiry.
  10: bool changes_only
  // One more than the number of the evacuations that the subscriber applies, so that 0 stands
  // for a subscriber that does not know them.
  11: i64 evacuations_applied
  // One more than the last `unreachable_number` of the polled source; 0 stands for a
  // subscriber that does not use it.
  12: i64 unreachable_known
  // One more than the last `leaving_number` of the polled source; 0 stands for a subscriber that
  // does not use it.
  13: i64 leaving_known
}

// Update of configuration, upstreams and control replicas, sent by a control replica.
struct News {
  1: i64 applied
  2: i64 held
  // Confirmed by a leader that has committed in its term.
  3: bool current
  4: i64 feed
  5: i64 version
  6: list<Registration> registrations
  7: list<string> controls
  // The sender has received announcements for longer than upstreams' interval between them.
  8: bool settled
  9: string data_centre
  // Answers a poll for changes only: an expired lease is listed with a lifetime of 0.
  10: bool changes_only
  // The data centres of `controls`, in their order; empty where the sender has none.
  11: list<string> control_data_centres
  12: Evacuations evacuations
  // How many entry instances of the sender's data centre poll it; to an entry instance, how
  // many poll the replicas of that data centre. 0 from earlier versions.
  13: i32 near_instances
  // The cookies of upstreams that the sender cannot reach; to an entry instance, those that
  // a control replica of the sender's data centre cannot reach.
  14: list<i64> unreachable
  // Counts the changes of `unreachable`.
  15: i64 unreachable_number
  // The addresses of the control replicas that stop, or have stopped and not started again, by
  // their own word: the sender and those that it polls.
  16: list<string> leaving
  // Counts the changes of `leaving`.
  17: i64 leaving_number
}

struct ReadRequest {
  1: i64 number
}

struct ReadResult {
  1: bool current
  2: Configuration configuration
  3: string leader
}
