/**
 * Messages between sidecars. One frame on a link is a 4-byte length, most
 * significant byte first, and one Frame in thrift's compact protocol.
 * docs/PLATFORM.md tells their order and meaning.
 */
namespace py relay_protocol

/*
 * A revision of the platform's data goes with its era, which rises each time the
 * platform's store comes back from an older copy: era first, then revision, is the
 * order of changes. Routes are ordered by their own version.
 */

enum Verdict {
  NOT_RUN = 1
  ANSWERED = 2
  MAY_HAVE_RUN = 3
}

/** What a backend server last stated about itself in its responses. */
struct NoticeReport {
  1: required string instance_id
  /** Orders the notices of one backend server, across restarts of its sidecar. */
  2: required i64 stamp
  /** Requests a second that it accepts from all hosts together; missing for no limit. */
  3: optional double rate_limit_per_s
  /** Whether it accepts no new requests for the rest of its lifetime. */
  4: bool leaving = false
  /** Lifetime of the instance that gave it; 0 if unknown or not distinguished. */
  5: i64 incarnation = 0
}

/** What a sidecar says of the backend server beside it. */
struct ServerLoad {
  1: required i32 in_flight
  2: required i32 queued
  /** Calls that it lets onto its backend server at once; 0 while that is down. */
  3: required i32 limit
  /** Missing for a backend server that has stated nothing. */
  4: optional NoticeReport notice
  /** Time until a new request would start, by the rate limit alone. */
  5: i32 rate_wait_ms = 0
  /** Mean slot time of a request; reported with a rate limit only. */
  6: i32 mean_hold_us = 0
}

/** First message each way. */
struct Hello {
  1: required i32 protocol_version
  /** Address at which the sender's sidecar accepts links: IP number. */
  2: required string ip
  3: required i64 incarnation
  4: required string availability_zone
  /** Whether the sender understands SuspectNews. */
  5: bool takes_suspects = false
  /** Whether the sender understands BodyGrant and BodyChunk. */
  6: bool takes_chunks = false
  /** Whether the sender understands RelayWaitLimit. */
  7: bool takes_wait_limits = false
}

/** Run this request once on the backend server beside you. */
struct RelayRequest {
  1: required i64 call_id
  2: required string instance_id
  3: required string service_name
  4: required string request_id
  5: required string method
  6: required binary target
  /** Header lines as they go to the backend server, each with its line end. */
  7: required binary headers
  8: required binary body
  /** Time in which an answer is of use. */
  9: required i32 remaining_ms
  /** Longest wait for a slot. */
  10: required i32 max_wait_ms
  /** Priority of the root request; 0 is the most important. */
  11: required i32 priority
  /** Place of the root request within its priority, from 0 to 1000. */
  12: required i32 level
  /** Whether the request is a call made by a running request. */
  13: required bool inner
  14: required bool idempotent
  /** Whether it, or a request above it, was sent before. */
  15: required bool repeated
  /** Calls that its root request and those above it have already finished. */
  16: i32 progress = 0
  /** Whether its tree ends with it: a root request that makes no calls. */
  17: bool last = false
  /** Name of the organisation that sent its root request; empty for none. */
  18: string organisation = ""
  /** Newest notice of the backend server that the sender knows. */
  19: optional NoticeReport notice
  /** Length of a body that follows in chunks once it is granted; 0 for none. */
  20: i64 body_bytes = 0
}

/** Slot time that a request and the calls below it took at one service. */
struct SlotTime {
  1: required string service_name
  2: required double slot_ms
}

/** The end of a RelayRequest. */
struct RelayResponse {
  1: required i64 call_id
  2: required Verdict verdict
  3: required i32 status
  /** Header lines of the backend server, each with its line end. */
  4: required binary headers
  5: required binary body
  /** Why there is no answer; empty with ANSWERED. */
  6: required string reason
  /** Whether anything was written to the backend server. */
  7: required bool offered
  8: required list<SlotTime> slot_times
  9: required ServerLoad load
  /** Instance that the backend server says it is, where it refused another. */
  11: optional string actual_instance_id
  /** Whether a call below failed that wasn't repeated, as too much is repeated. */
  12: bool repeats_spent = false
  /** Name of the end of the backend server's process, where it ended meanwhile. */
  13: optional string server_end
  /** Length of a body that follows in chunks once it is granted; 0 for none. */
  14: i64 body_bytes = 0
}

/** The sender has room for the body that was announced with a call. */
struct BodyGrant {
  1: required i64 call_id
}

/** Next part of a granted body. */
struct BodyChunk {
  1: required i64 call_id
  2: required binary data
}

/** Nobody waits for the answer any more. */
struct RelayCancel {
  1: required i64 call_id
}

/** The call may wait for a slot no longer than this from now on. */
struct RelayWaitLimit {
  1: required i64 call_id
  2: required i32 max_wait_ms
}

/** Requests of one route, and what they need. */
struct RouteDemand {
  1: required string route_name
  2: required i32 priority
  3: required double rate_per_s
  /** Slot time of one request and its calls, in microseconds, by service. */
  4: required map<string, i32> slot_us
  /** Time since the slot time was last measured. */
  5: i32 age_ms = 0
}

/** Requests and repeats that were sent to a service in the window. */
struct SentCount {
  1: required string service_name
  2: required i32 sent
  3: required i32 repeated
}

/** What was asked and let in of organisations, a column for each fact. */
struct OrganisationUses {
  1: required list<string> names
  /** Requests that arrived, in thousandths a second. */
  2: required list<i64> asked_per_ks
  /** Requests that were let in within the window. */
  3: required list<i32> spent
  /** Hosts that tell it. */
  4: required i32 hosts
  /** Time of the window before these hosts started, added up. */
  5: required i64 unknown_ms
}

/** Asks for a sign of life on a link that is quiet. */
struct Heartbeat {
  1: required i64 sequence
}

/** Answers a heartbeat; sequence 0 where it tells news unasked. */
struct HeartbeatReply {
  1: required i64 sequence
  2: required i64 revision
  3: required ServerLoad load
  4: required bool leaving
  /** Whether its server isn't listed since its host can't reach the platform. */
  5: bool isolated = false
  6: i64 era = 0
  7: i64 routes_version = 0
}

/** What the load of a host has beyond the columns of HostLoads. */
struct HostNotice {
  1: required string ip
  2: required NoticeReport notice
  3: required i32 rate_wait_ms
  4: required i32 mean_hold_us
}

/** Hosts of one availability zone and their servers, a column for each fact. */
struct HostLoads {
  1: required list<string> ips
  2: required list<i32> in_flight
  3: required list<i32> queued
  4: required list<i32> limits
  /** Bits: 1 leaving, 2 follows the platform, 4 isolated from the platform. */
  5: required list<i32> flags
  /** The hosts whose backend servers have stated something. */
  6: optional list<HostNotice> notices
}

/** What one sidecar tells the gatherers of its zone; answers a FleetDigest. */
struct HostReport {
  1: required i64 revision
  2: required ServerLoad load
  3: required bool leaving
  4: required bool following
  5: required bool isolated
  6: required list<RouteDemand> demand
  7: required list<SentCount> counts
  /** Whether the sender takes its view of the fleet from the receiver. */
  8: required bool relies
  9: optional OrganisationUses uses
  10: i64 era = 0
  11: i64 routes_version = 0
}

/** Loads of one zone. */
struct ZoneLoads {
  1: required string availability_zone
  /** Time since the gatherer that tells them heard them. */
  2: required i32 age_ms
  3: required HostLoads hosts
}

/** What a gatherer knows of its zone: the sum of the reports of its hosts. */
struct ZoneSummary {
  1: required ZoneLoads loads
  2: required list<RouteDemand> demand
  3: required list<SentCount> counts
  4: optional OrganisationUses uses
}

/** What a gatherer tells a host of its zone. */
struct FleetDigest {
  1: required i64 revision
  /** Whether the rest is told; a host takes it from one gatherer only. */
  2: required bool whole
  3: required list<ZoneLoads> zones
  /** Sums over all zones. */
  4: required list<RouteDemand> demand
  5: required list<SentCount> counts
  /** Organisations that come near their limit. */
  6: optional OrganisationUses uses
  7: i64 era = 0
  8: i64 routes_version = 0
}

/** Asks a sidecar of another zone for that zone's sum. */
struct SummaryRequest {
  1: required i64 revision
  2: i64 era = 0
  3: i64 routes_version = 0
}

struct SummaryReply {
  1: required i64 revision
  /** Addresses of the gatherers that the asked sidecar hears; itself if it is one. */
  2: required list<string> gatherers
  /** Missing where the asked sidecar doesn't gather. */
  3: optional ZoneSummary summary
  4: i64 era = 0
  5: i64 routes_version = 0
}

/** A request under which backend servers ended, by its digest. */
struct Suspect {
  1: required binary digest
  /** Names of the ends; each has one name wherever it is told. */
  2: required list<string> ends
  /** Time since each of them, in the same order. */
  3: required list<i32> ages_ms
  /** Time since a backend server ran it to a good end; missing where none did. */
  4: optional i32 answered_age_ms
}

/** Suspects that the receiver wasn't told of before. */
struct SuspectNews {
  1: required list<Suspect> suspects
}

/** Asks for the platform's data that changed after a revision. */
struct ReplicaRequest {
  1: required i64 after_revision
  2: i64 era = 0
  3: i64 routes_version = 0
}

struct ReplicaEntry {
  1: required string key
  2: required i64 revision
  /** Missing where the key was removed. */
  3: optional binary value
  4: i64 era = 0
}

struct ReplicaReply {
  /** All changes up to this revision are in the entries or known to the asker. */
  1: required i64 revision
  /** Whether keys that the entries don't name are gone. */
  2: required bool whole
  3: required list<ReplicaEntry> entries
  4: i64 era = 0
}

/** Exactly one field is set. */
struct Frame {
  1: optional RelayRequest request
  2: optional RelayResponse response
  3: optional RelayCancel cancel
  4: optional Heartbeat heartbeat
  5: optional HeartbeatReply heartbeat_reply
  6: optional ReplicaRequest replica_request
  7: optional ReplicaReply replica_reply
  8: optional Hello hello
  9: optional HostReport host_report
  10: optional FleetDigest fleet_digest
  11: optional SummaryRequest summary_request
  12: optional SummaryReply summary_reply
  13: optional SuspectNews suspect_news
  14: optional BodyGrant body_grant
  15: optional BodyChunk body_chunk
  16: optional RelayWaitLimit wait_limit
}
