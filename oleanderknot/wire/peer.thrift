// Messages between two nodes; see docs/design.md, section 5.
// A header list holds names and values in turn.

struct Hello {
  1: i32 protocol
  2: i64 session
  3: string instance
  4: i64 incarnation
  5: string data_centre
  6: string target_instance
  7: i64 target_incarnation
}

// What an upstream says about itself in its answers. rate is unset without a
// limit; leaving is set if it takes no new requests.
struct UpstreamNotice {
  1: string upstream
  2: optional double rate
  3: optional bool leaving
}

// excess is set while organisations send more than their fair share: by which
// factor the priority number of their requests is to be worsened.
// own_time is the mean time in seconds that the upstream works on a call of the
// route; start tells the starts of the upstream apart.
struct LoadReport {
  1: string service_name
  2: string route
  3: double level
  4: i32 in_flight
  5: i32 limit
  6: optional UpstreamNotice notice
  7: optional map<string, double> excess
  8: optional double own_time
  9: optional i64 start
}

// deadline_epoch_ms is read by nodes of earlier versions; sent_ms is the time
// of sending by a clock of the sender that is never set.
struct Open {
  1: string service_name
  2: string method
  3: string path
  4: list<binary> headers
  5: binary body
  6: bool body_complete
  7: i32 request_class
  8: i32 depth
  9: i32 deadline_ms
  10: i64 deadline_epoch_ms
  11: i32 allowance
  12: string key
  13: bool idempotent
  14: string trace_id
  15: string span_id
  16: string root_route
  17: i64 ticket
  18: bool sampled
  19: i32 repeat
  20: optional UpstreamNotice notice
  21: optional i64 sent_ms
  22: optional string organisation
  23: optional double rank
}

struct Head {
  1: i32 status
  2: list<binary> headers
  3: binary body
  4: bool body_complete
  5: i32 unspent
  6: list<LoadReport> reports
}

struct Chunk {
  1: i64 offset
  2: binary data
  3: bool last
}

struct Credit {
  1: i32 size
}

struct Cancel {
}

struct Failure {
  1: i32 verdict
  2: string rule
  3: i64 ticket
  4: string service_name
  5: string detail
  6: i32 retry_after_ms
  7: i32 unspent
  8: list<LoadReport> reports
}

struct KeyQuery {
  1: string key
  2: i32 wait_ms
}

struct KeyState {
  1: string state
  2: i32 status
  3: list<binary> headers
  4: binary body
  5: Failure failure
}

struct Ping {
  1: i64 number
}

struct Pong {
  1: i64 number
}

// The start of an upstream that has left. sequence is unset if the departure
// is final.
struct Departure {
  1: string upstream
  2: i64 started_ms
  3: optional i64 sequence
}

struct Member {
  1: string instance
  2: i64 incarnation
  3: i64 version
  4: i32 state
  5: string data_centre
  6: string host
  7: i32 peer_port
  8: i32 caller_port
  9: i32 operator_port
  10: string service_name
  11: i32 slots
  12: optional Departure departure
}

struct MemberVersion {
  1: string instance
  2: i64 incarnation
  3: i64 version
  4: i32 state
}

struct PolicyDigest {
  1: i32 count
  2: i64 highest
  3: i64 hash
  4: i64 complete
}

// kind: 0 probe, 1 probe answer, 2 indirect probe, 3 push, 4 versions of a
// data centre, 5 the records that the other side lacks.
// number: of the probe in kinds 0 to 2; in kind 4 it is 1 when the versions
// are all that the sender holds of the data centre, else 0.
struct Gossip {
  1: i32 kind
  2: i64 number
  3: list<Member> changes
  4: map<string, i64> hashes
  5: string target
  6: string data_centre
  7: list<MemberVersion> versions
  8: PolicyDigest policy
}

struct ScopeState {
  1: string scope
  2: i64 number
  3: string state
}

// kind: 0 news that are passed on, 1 request for all scopes, 2 digest,
// 3 reply to a digest that differs, 4 states that are neither.
struct PolicySync {
  1: i32 kind
  2: list<ScopeState> scopes
  3: PolicyDigest digest
}

// The sender opens no more calls on this connection. When both sides have
// said so and no call is left, the connection ends.
struct Goodbye {
}

// Request for tokens of an organisation. wait_ms is how long the sender can
// wait for them. lending is set between homes of two
// data centres. Without an organisation it asks for support: lost has the
// nodes that the sender cannot reach.
struct QuotaRequest {
  1: i64 number
  2: string organisation
  3: i32 tokens
  4: optional bool lending
  5: optional list<string> lost
  6: i32 wait_ms
}

// Answer to a request. queued: the request waits, and another answer follows.
// declined: the sender does not serve or support the receiver now. heard has
// the nodes that the sender does not agree to be lost.
struct QuotaGrant {
  1: i64 number
  2: i32 tokens
  3: i32 lifetime_ms
  4: i32 wait_ms
  5: optional bool queued
  6: optional bool declined
  7: optional list<string> heard
}

struct Frame {
  1: i64 session
  2: i64 call
  3: optional Hello hello
  4: optional Open open
  5: optional Head head
  6: optional Chunk chunk
  7: optional Credit credit
  8: optional Cancel cancel
  9: optional Failure failure
  10: optional KeyQuery key_query
  11: optional KeyState key_state
  12: optional Ping ping
  13: optional Pong pong
  14: optional Gossip gossip
  15: optional PolicySync policy_sync
  16: optional Goodbye goodbye
  17: optional QuotaRequest quota_request
  18: optional QuotaGrant quota_grant
}
