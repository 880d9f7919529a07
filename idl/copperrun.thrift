// Control messages between copperrun's own processes, in the compact protocol.
namespace py copperrun.gen

enum Ran {
  NO = 0,
  UNKNOWN = 1
}

// Names one attempt of one request at one incarnation of one side.
struct AttemptId {
  1: required string request,
  2: required i32 attempt,
  3: required i64 incarnation
}

struct Attempt {
  1: required AttemptId id,
  2: required string deployment,
  3: optional string adapter,
  4: required string tenant,
  5: required string caller,
  6: required string service_class,
  7: required i64 revision,
  8: required i64 remaining_ms,
  9: optional bool stream,
  10: optional string method,
  11: optional string path,
  12: optional string content_type,
  13: optional string idempotency_key,
  14: required binary body,
  15: optional i32 resume_chunks,
  16: optional string resume_text,
  17: optional string resume_weights
}

// Load of one side, carried back on every answer.
struct Load {
  1: required i32 queued,
  2: required i32 running,
  3: required i64 queue_ms
}

struct Answer {
  1: required AttemptId id,
  2: required i32 status,
  3: required string content_type,
  4: required binary body,
  5: required i64 checksum,
  6: required bool recorded,
  7: required Load load
}

struct Refusal {
  1: required AttemptId id,
  2: required string reason,
  3: required Ran ran,
  4: required string detail,
  5: required i64 retry_after_ms,
  6: optional string redirect,
  7: optional Load load
}

struct Cancel {
  1: required AttemptId id
}

struct CancelResult {
  1: required AttemptId id,
  2: required bool started
}

// Asks a side whether it keeps an object, so that the asking side may drop its copy.
struct Pin {
  1: required string object
}

struct PinResult {
  1: required bool granted
}

// Answers a peer's hello: who this process is now and what it holds.
struct Hello {
  1: required string instance,
  2: required i64 incarnation,
  3: required string state,
  4: required i64 revision,
  5: required Load load,
  6: required list<string> resident
}

// An engine of the pool by the latest report of its side.
struct PeerEngine {
  1: required set<string> held,
  2: required set<string> loading,
  3: required double use,
  4: required set<string> active
}

// What one entry was asked for, by model; the reply is an EngineReport.
struct Demand {
  1: required string entry,
  2: required map<string, double> arrivals,
  3: required map<string, i32> waiting,
  4: required map<string, PeerEngine> engines,
  5: required i32 hold_ms,
  6: required map<string, i32> queued,
  7: optional map<string, i32> continuing
}

// An engine as the side beside it sees it.
struct EngineReport {
  1: required i64 born_ms,
  2: required map<string, set<string>> held,
  3: required i32 running,
  4: required i32 queued,
  5: required map<string, i32> loading,
  6: required i32 entries,
  7: required i32 backlog_ms,
  8: required double use,
  9: required string server_id,
  10: required set<string> active,
  11: optional i32 free_tokens,
  12: optional double step_ms,
  13: optional double work_ms,
  14: optional map<i32, i32> wait_ms
}

// What a side tells the sides of the pool's other engines.
struct PeerChange {
  1: required string address,
  2: required PeerEngine engine
}

// A part of a prompt that requests of one model may share.
struct PromptPart {
  1: required string id,
  2: required i32 tokens
}

// Asks a side to let one request into its engine.
struct Admit {
  1: required string request,
  2: required string model,
  3: required string adapter,
  4: required i32 priority,
  5: required i32 tokens,
  6: required i32 gap_ms,
  7: required i32 target_ms,
  8: required i32 remaining_ms,
  9: optional string account,
  10: optional i32 output_tokens,
  11: optional i32 expected_output,
  12: optional i32 likely_output,
  13: optional i32 alternatives,
  14: optional bool continues,
  15: optional list<PromptPart> parts,
  20: optional i32 body_bytes
}

enum Admission {
  GRANTED = 0,
  NOT_HELD = 1,
  OVERLOADED = 2
}

struct AdmitResult {
  1: required Admission admission,
  2: required i32 retry_after_ms,
  3: optional i64 born_ms,
  4: optional string server_id
}

// Admitted requests whose first event has come, and those that have ended.
struct Progress {
  1: required list<string> started,
  2: required list<string> ended,
  3: optional map<string, i32> generated
}

// Newest records of one keyed topic, for a process that starts without the store.
struct TopicView {
  1: required map<string, binary> items,
  2: required i64 end,
  3: optional i32 era
}

struct View {
  1: required map<string, TopicView> topics
}

// A server that ended, with the prompt parts that may have caused it and those of them
// that did not.
struct Crash {
  1: required string crash,
  2: required string pool,
  3: required i64 age_ms,
  4: required set<string> parts,
  5: required set<string> cleared
}

// Tells a side of crashes and asks for what changed in its log after a position, which
// holds for one start of the side.
struct CrashQuery {
  1: required string origin,
  2: required i64 version,
  3: required list<Crash> crashes,
  4: required i32 hold_ms
}

struct CrashNews {
  1: required string origin,
  2: required i64 version,
  3: required list<Crash> crashes
}

// What began a stream, for the entry at which its caller takes it up.
struct StreamOrigin {
  1: required binary key,
  2: required string pool,
  3: required string start_id,
  4: required string software_version,
  5: required i32 age_ms
}

// Tells a keeper of begun streams and asks for others by their keys.
struct OriginQuery {
  1: required list<StreamOrigin> origins,
  2: required list<binary> wanted
}

struct OriginNews {
  1: required string start,
  2: required list<StreamOrigin> origins
}

// Units of one client account that an entry asks for.
struct CreditRequest {
  1: required string account,
  2: required double rate_per_s,
  3: required double burst,
  4: required list<i64> needed,
  5: required i64 ahead
}

// Asks the keeper of a group of accounts for units; version is that of the
// configuration that names the limits.
struct CreditQuery {
  1: required i32 group,
  2: required i64 version,
  3: required list<CreditRequest> requests,
  4: optional string silent
}

struct CreditGrant {
  1: required string account,
  2: required i64 units,
  3: required i32 retry_after_ms,
  4: required i64 used
}

// Without grants the process does not keep the group; keeper names one that may.
struct CreditReply {
  1: optional list<CreditGrant> grants,
  2: optional string keeper
}

// Tells the former keeper of a group that another one has claimed it at a position of
// the store.
struct TenureQuery {
  1: required i32 group,
  2: required i32 era,
  3: required i64 offset
}

// What is left of each account; the process grants nothing of the group any more.
struct TenureReply {
  1: required map<string, double> levels
}
