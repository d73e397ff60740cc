package eventlog

// Number identifies a kind of event. The number of a removed kind is never reused.
type Number int

// The event numbers, grouped by subsystem.
const (
	InstanceStarting  Number = 100
	InstanceReady     Number = 101
	InstanceDraining  Number = 102
	InstanceStopped   Number = 103
	SettingsRead      Number = 104
	InstanceStatus    Number = 105
	InstanceOverload  Number = 106
	InstanceClosing   Number = 107
	ClientsLimited    Number = 108
	StoreUnreachable  Number = 110
	StoreReachable    Number = 111
	WatchFailed       Number = 112
	WatchRenewed      Number = 113
	StoreWentBack     Number = 114
	StoreEraFault     Number = 115
	CopyOld           Number = 116
	CopyContradicted  Number = 117
	RequestAccepted   Number = 200
	RequestRefused    Number = 201
	RequestDispatched Number = 202
	RequestResumed    Number = 203
	RequestRan        Number = 204
	RequestFailed     Number = 205
	AnswerMismatch    Number = 206
	RequestReplayed   Number = 207
	CallerGone        Number = 208
	RequestRepeated   Number = 209
	RequestBrokeOff   Number = 210
	RequestSuspected  Number = 211
	RequestCleared    Number = 212
	RequestReleased   Number = 213
	QuarantineLearned Number = 214
	QuarantineFault   Number = 215
	OriginFault       Number = 216
	RequestHedged     Number = 217
	HedgeFailed       Number = 218
	PartCondemned     Number = 219
	ReservationDenied Number = 300
	RequestBilled     Number = 301
	UsageAboveBound   Number = 302
	GrantDrawn        Number = 310
	GrantReturned     Number = 311
	WitnessNamed      Number = 312
	GrantReclaimed    Number = 313
	GrantLost         Number = 314
	BudgetReduced     Number = 315
	TokensMoved       Number = 320
	TokensBorrowed    Number = 321
	DrawerResting     Number = 322
	LedgerRecovered   Number = 323
	TokensStranded    Number = 324
	ClaimTaken        Number = 400
	ClaimConflict     Number = 401
	ClaimOutcome      Number = 402
	ConfigAccepted    Number = 500
	ConfigRejected    Number = 501
	ConfigInForce     Number = 502
	UpstreamsLeft     Number = 503
	DomainEmptied     Number = 504
	DomainRestored    Number = 505
	MemberJoined      Number = 600
	MemberSilent      Number = 601
	MemberLeft        Number = 602
	MembersUnknown    Number = 603
	UpstreamFailing   Number = 610

	UpstreamUnidentified Number = 611
	UpstreamsUnreached   Number = 612
	UpstreamsReached     Number = 613
)

// Description describes a kind of event to operators.
type Description struct {
	// Name is the event's name in logs.
	Name string
	// Meaning describes what has happened.
	Meaning string
	// Action is what an operator should do about it.
	Action string
}

// Catalogue describes all kinds of events. docs/EVENTS.md is generated from it and checked against it.
var Catalogue = map[Number]Description{
	InstanceStarting:  {"instance-starting", "the process has read its settings", "none"},
	InstanceReady:     {"instance-ready", "the instance serves callers", "none"},
	InstanceDraining:  {"instance-draining", "a planned stop has begun; running requests finish", "none"},
	InstanceStopped:   {"instance-stopped", "grants are returned, bills handed over, the process exits", "none"},
	SettingsRead:      {"settings-read", "the settings file was read again after a signal; a running instance keeps its own", "correct the file if it is not valid"},
	InstanceStatus:    {"instance-status", "what the instance did since its start, told every few seconds", "none"},
	InstanceOverload:  {"instance-overload", "the instance's own link is full, or carries everything again (overloaded); meanwhile it is not ready, takes on a bounded number of requests and refuses the rest at once", "see whether its callers are spread, and its link's size"},
	InstanceClosing:   {"instance-closing", "a stopping instance closes its clients' connections, after_ms after the stop began; active requests are cut off", "if requests are cut off, see OPERATING, planned stops"},
	ClientsLimited:    {"clients-limited", "what clients hold reached a bound since the last such event: conns_closed connections were closed because too many were open, requests_refused requests because others took the memory for them", "see OPERATING, clients that do not behave"},
	StoreUnreachable:  {"store-unreachable", "a platform call failed after calls had succeeded", "see OPERATING, store outage"},
	StoreReachable:    {"store-reachable", "a platform call succeeded after calls had failed", "none"},
	WatchFailed:       {"watch-failed", "a call that follows the configuration or the upstreams failed; age_ms tells for how long nothing has confirmed the copy", "see OPERATIONS, a change came late"},
	WatchRenewed:      {"watch-renewed", "this instance asks the store itself: another one published a change that nobody handed on (behind), or none confirmed the copy (unconfirmed)", "none, or see OPERATIONS, a change came late"},
	StoreWentBack:     {"store-went-back", "the store came back from a copy of itself: from and era are its eras before and now", "none; see OPERATIONS, after the store went back"},
	StoreEraFault:     {"store-era-fault", "an answer of the store told an older or an unusable era and was passed over, or its era was; told once of each kind", "see whether the store's nodes agree"},
	CopyOld:           {"copy-old", "nothing has confirmed a copy of the store for longer than an instance may rely on the others (old), or it is confirmed again after age_ms at most; store_answers tells what is missing: the store's answers, or the word of the instances that publish", "if it lasts, see OPERATIONS, a change came late"},
	CopyContradicted:  {"copy-contradicted", "peer stated that nothing of a copy changed after last_change up to position, but this instance holds an object of the copy that was written in between; an instance that lacks it may rely on the statement", "see OPERATIONS, a change came late"},
	RequestAccepted:   {"request-accepted", "a caller's request passed authentication and checks", "none"},
	RequestRefused:    {"request-refused", "the request was refused and did not run", "by the reason field"},
	RequestDispatched: {"request-dispatched", "the request was sent to an upstream; for a stream, version is the upstream's software version; for one that goes on, after_event is the last event that the client has, and resumes the request that the client names; upstreams_age_ms is how long ago the list of upstreams was known to be complete, own_delay_ms how late the instance itself is", "none"},
	RequestResumed:    {"request-resumed", "a broken answer was taken up again at its offset", "none"},
	RequestRan:        {"request-ran", "the whole answer was delivered", "none"},
	RequestFailed:     {"request-failed", "no whole answer came; the outcome field says what is known, silent_ms how long the upstream had sent nothing when the wait for it ended", "by the step field"},
	AnswerMismatch:    {"answer-mismatch", "an upstream's answer has another request's id, or none; discarded", "inspect the upstream"},
	RequestReplayed:   {"request-replayed", "a retry got the recorded answer of a request that ran", "none"},
	CallerGone:        {"caller-gone", "the caller went away; the upstream was cancelled", "none"},
	RequestRepeated:   {"request-repeated", "an attempt failed and another upstream is asked; version is the software version of an upstream whose stream broke off, silent_ms as in request-failed", "by the step and cause fields"},
	RequestBrokeOff:   {"request-broke-off", "a connection to an upstream ended before the whole answer; state tells whether the upstream crashed, answers or is silent, fingerprint is the same for equal requests of one account, prompt_parts names the prompt's first parts, events is how many the client had got", "see OPERATIONS, upstreams end one after the other"},
	RequestSuspected:  {"request-suspected", "an upstream crashed while a request ran there; crashes tells how many did in a row, condemned that it does not run again", "see OPERATIONS, upstreams end one after the other"},
	RequestCleared:    {"request-cleared", "a suspected request was answered whole, so others crashed the upstreams", "none"},
	RequestReleased:   {"request-released", "an operator released a request from quarantine", "none"},
	QuarantineLearned: {"quarantine-learned", "another instance, or the store, told of condemned requests; condemned names some, which do not run here any more", "none"},
	QuarantineFault:   {"quarantine-fault", "a step of keeping the quarantine failed or another instance told something unusable; it is tried again", "by the step and cause fields"},
	OriginFault:       {"origin-fault", "records of which software version began a stream were not kept at or not found out from another instance or the store (steps archive and load); suppressed tells how many more faults there were since the last event. A stream whose record is lost is refused when its client resumes it", "by the step and cause fields, if it lasts"},
	RequestHedged:     {"request-hedged", "an upstream has sent nothing for silent_ms, and another one runs the request as well; the first answer is delivered", "none; if many, see the upstreams named by silent"},
	HedgeFailed:       {"hedge-failed", "an attempt beside a silent one failed; the silent one goes on", "by the step and cause fields"},
	PartCondemned:     {"part-condemned", "upstreams crashed under requests that have only this part of their prompts in common; requests of the account with it, or of all accounts if none is named, do not run any more", "see OPERATIONS, a request is refused for good"},
	ReservationDenied: {"reservation-denied", "the account's budget had no tokens to reserve", "top up, or see OPERATING, refusals"},
	RequestBilled:     {"request-billed", "a request's cost was taken from its reservation", "none"},
	UsageAboveBound:   {"usage-above-bound", "an upstream reported more tokens than were reserved; billed at the bound", "correct min_bytes_per_token or the engine"},
	GrantDrawn:        {"grant-drawn", "tokens were drawn from the ledger", "none"},
	GrantReturned:     {"grant-returned", "an unspent rest went back to the ledger", "none"},
	WitnessNamed:      {"witness-named", "a grant has another witness", "none"},
	GrantReclaimed:    {"grant-reclaimed", "a silent holder's unsigned rest went back to the ledger", "see OPERATING, instance crash"},
	GrantLost:         {"grant-lost", "this instance's grant was reclaimed by its witness", "none; it was thought dead"},
	BudgetReduced:     {"budget-reduced", "a budget is below what is granted; nothing new is granted", "wait, or raise it"},
	TokensMoved:       {"tokens-moved", "an instance drew tokens of a budget or returned some; left is what the ledger still has, the other fields how the instance stands", "none"},
	TokensBorrowed:    {"tokens-borrowed", "a peer lent tokens while the store did not answer, or the drawer dealt them out", "none"},
	DrawerResting:     {"drawer-resting", "the instance that draws tokens for this one did not answer or declined; another is asked for a time", "none, or see the drawer's own log at that time"},
	LedgerRecovered:   {"ledger-recovered", "a write brought back draws (tokens) that a ledger object lacked after the store went back; settled says that it can be drawn from again, missing how many instances had not told and have tokens reserved", "none; see OPERATIONS, after the store went back"},
	TokensStranded:    {"tokens-stranded", "an earlier process of the instance named (peer) ended without returning its tokens; held is what it and those that it drew for had free when it last wrote, at most so much is lost", "none; see OPERATING, instance crash"},
	ClaimTaken:        {"claim-taken", "an idempotency key was claimed for one run", "none"},
	ClaimConflict:     {"claim-conflict", "the key is claimed already", "none"},
	ClaimOutcome:      {"claim-outcome", "the outcome of a claimed request was recorded", "none"},
	ConfigAccepted:    {"config-accepted", "a document was validated and accepted under a new generation", "none"},
	ConfigRejected:    {"config-rejected", "a document is invalid; the one accepted before stays in force", "correct the document"},
	ConfigInForce:     {"config-in-force", "this instance works by the generation named", "none"},
	UpstreamsLeft:     {"upstreams-left", "this instance gives nothing new to the upstreams named: they said that they leave, or their entries are gone; count tells how many, upstreams names some, copy_age_ms how long ago the list of upstreams was known to be complete, own_delay_ms how late the instance itself is", "none"},
	DomainEmptied:     {"domain-emptied", "operators emptied a failure domain: from now on this instance sends its upstreams nothing new; last_sent_ms_ago tells when it last did", "none; see OPERATIONS, an emptied domain got requests"},
	DomainRestored:    {"domain-restored", "operators took a failure domain back: this instance gives its upstreams work again", "none"},
	MemberJoined:      {"member-joined", "other instances were heard of; count tells how many, members names some", "none"},
	MemberSilent:      {"member-silent", "other instances answered nobody that probed them and did not refute it; count tells how many, members names some", "see OPERATING, instance crash"},
	MemberLeft:        {"member-left", "other instances said that they leave; count tells how many, members names some", "none"},
	MembersUnknown:    {"members-unknown", "a step in which this instance meets the others failed; it is tried again", "none, or see OPERATING, store outage"},
	UpstreamFailing:   {"upstream-failing", "an upstream failed several times in a row and is passed over", "inspect the upstream"},

	UpstreamUnidentified: {"upstream-unidentified", "an upstream did not answer which process it is, after a connection to it ended or before the first request; told once until it answers", "none, or inspect the upstream"},
	UpstreamsUnreached:   {"upstreams-unreached", "this instance's own links lead to no upstream of the service: connections to the failed ones timed out (silent) or were refused, and none succeeded since; requests go through other instances (field via of 202)", "see OPERATIONS, an instance without upstreams"},
	UpstreamsReached:     {"upstreams-reached", "this instance reaches the service over its own links again, after_ms later", "none"},
}
