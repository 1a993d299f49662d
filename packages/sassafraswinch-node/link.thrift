/**
 * Messages between nodes. One frame on a link is a 4-byte length, most
 * significant byte first, and one Frame in thrift's compact protocol.
 * docs/PROTOCOL.md tells their order and meaning.
 */
namespace py link_protocol

/** Names and values of header fields in turn: name, value, name, value. */
typedef list<string> FlatHeaders

enum Verdict {
  NOT_RUN = 1
  ANSWERED = 2
  MAY_HAVE_RUN = 3
}

enum Reason {
  OVERLOADED = 1
  EVICTED = 2
  DEADLINE = 3
  LEAVING = 4
  NO_DOCUMENT = 5
  NO_HOST = 6
  UNKNOWN_OPERATION = 7
  TOO_LARGE = 8
  BACKEND_SHED = 9
  BACKEND_UNREACHABLE = 10
  BACKEND_BROKEN = 11
  LINK_LOST = 12
  PEER_RESTARTED = 13
  FENCED = 14
  CANCELLED = 15
  RETRY_REFUSED = 16
  CALLER_RETRIES = 17
  TICKET_REQUIRED = 18
  TICKET_INVALID = 19
  TICKET_EXPIRED = 20
  TICKET_OTHER_REQUEST = 21
  TICKET_OWNER_UNREACHABLE = 22
  TICKET_OWNER_RESTARTED = 23
  ANSWER_NOT_KEPT = 24
  REPEATABLE_PARENT = 25
  BAD_REQUEST = 26
}

enum FenceState {
  NEVER_STARTED = 1
  RUNNING = 2
  UNKNOWN = 3
}

struct Rank {
  1: required i32 class_order
  2: required i32 level
}

struct ServiceThreshold {
  1: required string service_name
  2: required i32 class_order
  3: required i32 level
}

struct Load {
  1: required i32 in_flight
  2: required i32 queued
  3: required i32 limit
  4: required double queue_delay_ms
  5: required bool leaving
  6: optional Rank threshold
}

/** Fields 1 to 3 keep their numbers and types in every protocol version. */
struct Hello {
  1: required i32 protocol_version
  2: required string host
  3: required i64 incarnation
  4: required string availability_zone
  5: required string service_name
  6: required i64 session
  7: required i64 document_version
  8: required string document_digest
}

struct Call {
  1: required i64 number
  2: required string root_id
  3: required string service_name
  4: required string operation
  5: required i32 class_order
  6: required i32 level
  7: required bool repeatable
  8: required i32 remaining_ms
  9: required i32 allowance
  10: required i32 depth
  11: required i32 progress
  12: required string method
  13: required string target
  14: required FlatHeaders headers
  15: required binary body
}

struct Answer {
  1: required i64 number
  2: required Verdict verdict
  3: optional Reason reason
  4: required i32 status
  5: required FlatHeaders headers
  6: required binary body
  7: required i32 unspent
  8: required list<ServiceThreshold> thresholds
  9: required i32 retry_after_ms
  10: optional Load load
}

struct Cancel {
  1: required i64 number
}

struct Fence {
  1: required i64 floor_session
  2: required list<i64> numbers
}

struct FenceReply {
  1: required i64 number
  2: required FenceState state
}

struct Acknowledge {
  1: required list<i64> numbers
}

struct Heartbeat {
  1: required i64 sequence
  2: required Load load
  3: required i64 document_version
  4: required string document_digest
}

struct HeartbeatReply {
  1: required i64 sequence
}

struct DocumentRequest {
  1: required i64 version
}

struct DocumentReply {
  1: required i64 version
  2: required binary body
}

struct HostsRequest {
  1: required i64 list_version
}

struct HostRecord {
  1: required string name
  2: required string service_name
  3: required string availability_zone
  4: required bool leaving
  5: required string link
  6: required string entry
  7: required string operators
}

struct HostsReply {
  1: required list<HostRecord> hosts
}

struct Forward {
  1: required i64 number
  2: required string ticket
  3: required string caller
  4: required string organisation
  5: required string service_name
  6: required string method
  7: required string target
  8: required FlatHeaders headers
  9: required binary body
  10: required i32 remaining_ms
}

/** Carries exactly one message. */
struct Frame {
  /** The sender's monotonic clock, for the time a frame spent on its way. */
  1: required i64 sent_ms
  2: optional Hello hello
  3: optional Call call
  4: optional Answer answer
  5: optional Cancel cancel
  6: optional Fence fence
  7: optional FenceReply fence_reply
  8: optional Acknowledge acknowledge
  9: optional Heartbeat heartbeat
  10: optional HeartbeatReply heartbeat_reply
  11: optional DocumentRequest document_request
  12: optional DocumentReply document_reply
  13: optional Forward forward
  14: optional HostsRequest hosts_request
  15: optional HostsReply hosts_reply
}
