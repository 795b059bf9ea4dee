// Messages between turmericward's own processes. Regenerate with scripts/generate.
namespace py turmericward.wire

/** One configuration resource. `value_json` is empty for a deleted one. */
struct Resource {
  1: string kind
  2: string name
  3: i64 version
  4: string value_json
  5: bool deleted
}

/** One row of the platform's instance list. */
struct Instance {
  1: string name
  2: string domain
  3: string address
  4: bool leaving
  5: string kind
}

/** An engine that entries send no new work to until `ttl_ms` after receipt. */
struct Hold {
  1: string engine
  2: string hold_id
  3: i32 ttl_ms
}

/** Load last reported by one engine; `age_ms` counts from the report's receipt. */
struct Load {
  1: string engine
  2: string role
  3: i32 running
  4: i32 queued
  5: i32 age_ms
}

/** A poll; `drained` are the holds under which the entry has no work left. */
struct FollowRequest {
  1: string entry
  2: i64 applied
  3: i64 fleet_version
  4: list<string> drained
  5: i32 wait_ms
}

/** Changes since `FollowRequest.applied`, or all resources when `whole`. */
struct FollowAnswer {
  1: i64 applied
  2: bool whole
  3: list<Resource> resources
  4: i64 fleet_version
  5: list<Instance> instances
  6: list<Load> loads
  7: list<Hold> holds
  8: bool ready
  9: list<string> released
}

enum Outcome {
  ACCEPTED = 1
  CONFLICT = 2
  UNKNOWN = 3
  UNAVAILABLE = 4
}

const i64 ANY_VERSION = -1
const i64 NO_VERSION = 0

/** A change of one resource; `expected` is the version it replaces, NO_VERSION to
 *  create only, ANY_VERSION to replace whichever is present. */
struct ProposeRequest {
  1: string kind
  2: string name
  3: i64 expected
  4: string value_json
  5: bool deleted
  6: string producer
}

struct ProposeAnswer {
  1: Outcome outcome
  2: i64 version
}

struct RecordedAnswer {
  1: i32 status
  2: string content_type
  3: binary body
  4: bool truncated
}

enum ClaimState {
  GRANTED = 1
  IN_PROGRESS = 2
  DONE = 3
  MISMATCH = 4
  UNKNOWN = 5
  UNAVAILABLE = 6
}

struct ClaimRequest {
  1: string scope
  2: string key
  3: string fingerprint
  4: string attempt
}

struct ClaimAnswer {
  1: ClaimState state
  2: RecordedAnswer answer
}

/** Ends an attempt. `ran` is false only when the call is known not to have run. */
struct SettleRequest {
  1: string scope
  2: string key
  3: string attempt
  4: bool ran
  5: RecordedAnswer answer
}

/** `refused` says why the hold was not placed; it is empty when it was. */
struct HoldAnswer {
  1: bool confirmed
  2: list<string> missing
  3: string refused
}

struct StateAnswer {
  1: bool ready
  2: i64 applied
  3: string snapshot_json
}

struct DomainStatus {
  1: string instance
  2: string domain
  3: i64 applied
  4: bool log_reachable
  5: bool holder
  6: i64 token
  7: map<string, i64> entries
}

service Steward {
  FollowAnswer follow(1: FollowRequest req)
  ProposeAnswer propose(1: ProposeRequest req)
  ClaimAnswer claim(1: ClaimRequest req)
  void settle(1: SettleRequest req)
  HoldAnswer hold(1: Hold req)
  void release(1: list<string> hold_ids)
  StateAnswer state()
  DomainStatus status()
}
