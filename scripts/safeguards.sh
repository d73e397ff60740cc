#!/usr/bin/env bash
# Shows that the proofs can fail: takes one safeguard out at a time, in a copy
# of the tree, and expects the named test to fail. Prints a line for each; exits
# 1 if a test still passes without its safeguard. Usage: scripts/safeguards.sh [name]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
only=${1:-}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
status=0

# memory_kb bounds what a test may take: a bound on memory is among the safeguards.
memory_kb=$((16 << 20))

# try NAME FILE PERL-EDIT PACKAGE TEST
try() {
  local name=$1 file=$2 edit=$3 package=$4 test=$5
  [ -n "$only" ] && [ "$only" != "$name" ] && return
  rm -rf "$copy"/* && cp -r "$root"/go.mod "$root"/go.sum "$root"/pkg "$root"/platform "$root"/cmd "$root"/examples "$root"/test "$copy"/
  perl -0pi -e "$edit" "$copy/$file"
  if cmp -s "$root/$file" "$copy/$file"; then
    echo "$name: the edit no longer applies to $file"
    status=1
    return
  fi
  if (cd "$copy" && ulimit -v "$memory_kb" && timeout 300 go test -count=1 -run "^$test\$" "./$package" >"$copy/out" 2>&1); then
    echo "$name: $test still passes without it"
    status=1
  elif grep -q -- "--- FAIL: $test" "$copy/out"; then
    echo "$name: $test fails without it, as it should"
  else
    echo "$name: did not run: $(grep -m1 . "$copy/out")"
    status=1
  fi
}

budget=pkg/budget
try witness-base pkg/ledger/ledger.go 's/g\.Signed = signed/g.Signed = 0/' $budget TestNewWitnessKeepsWhatTheOldOneSigned
try signature-void-while-renaming $budget/holder.go 's/ \|\| g\.replacingWitness \{/ {/' $budget TestLateSignatureOfTheOldWitnessIsVoid
try closed-is-remembered $budget/witness.go 's/if g\.closed \{/if false {/' $budget TestWitnessThatReclaimedSignsNoMore
try reclaim-checks-witness pkg/ledger/ledger.go 's/if g\.Witness != witness \{/if false {/' pkg/ledger TestOnlyTheNamedWitnessReclaims
try old-generation-changes-nothing pkg/ledger/ledger.go 's/generation <= s\.Generations\[service\]/false/' $budget TestReductionBelowGrantedGivesNothingNew
try draw-within-free pkg/ledger/ledger.go 's/min\(target-g\.Drawn, b\.Free\(\)\)/target-g.Drawn/' $budget TestNoHistoryOverspends
try absolute-draw-target pkg/ledger/ledger.go 's/min\(target-g\.Drawn, b\.Free\(\)\)/min(target-g.Drawn+100, b.Free()+100)/' $budget TestNoHistoryOverspends
try allocate-only-signed $budget/grant.go 's/return g\.signed - g\.allocated/return g.drawn + g.returned - g.allocated/' $budget TestNoHistoryOverspends
try settled-lots-stay-settled $budget/spender.go 's/if !s\.settled\[received\.Grant\] \{/if true {/' $budget TestNoHistoryOverspends
try give-back-has-a-floor pkg/ledger/ledger.go 's/min\(b\.Shortage, g\.Drawn-minDrawn\)/min(b.Shortage, g.Drawn)/' pkg/ledger TestRepeatedGiveBackGivesOnce
try stored-records-are-left-out pkg/bill/journal.go 's/if !stored\[record\.Seq\] \{/if true {/' pkg/bill TestEachRequestIsBilledOnce
try claim-stands pkg/claim/shard.go 's/present != nil \{/false {/' pkg/claim TestAtMostOneRequestOfAKeyRuns
try only-newer-generations pkg/configsync/state.go 's/a\.Generation <= s\.Generation\(a\.Service\)/false/' pkg/configsync TestConfigurationNeverReverts
try leaving-is-passed-over pkg/dispatch/picker.go 's/upstream\.State == document\.StateLeaving/false/' pkg/dispatch TestLeavingUpstreamIsNotPicked
try handed-before-first-byte pkg/httpcall/httpcall.go 's/\t\topts\.OnSending\(\)\n//' test TestBrokenAnswerIsUnknownNeverTwice
try end-mark pkg/upstream/stream.go 's/return Event\{\}, s\.readError\(err\)/return Event{End: true}, nil/' test TestCutStreamIsResumedWhole
try answer-id pkg/upstream/stream.go 's/s\.resp\.Header\.Get\(chat\.HeaderRequestID\) != s\.id/false/; s/out\.Response\.ID != s\.id/false/' test TestCrossedAnswerNeverReachesTheCaller
try drain-waits pkg/instance/run.go 's/err := i\.clientServer\.AwaitIdle\(drainCtx\)/err := drainCtx.Err()/' test TestPlannedStopCutsNothing
try answers-are-written-out pkg/httpserve/httpserve.go 's/c\.Next\(ctx\)/c.Next(ctx)\n\ts.active.end(c)/' test TestPlannedStopLeavesSlowClientsTheirAnswers
try own-door-writes-answers-out pkg/httpserve/httpserve.go 's/c\.Next\(ctx\)/c.Next(ctx)\n\ts.active.end(c)/' test TestPlannedStopOfTheOwnDoorLeavesSlowClientsTheirAnswers
try few-ended-connections-are-read-on pkg/httpserve/connset.go 's/if s\.numLingering >= maxLingering \{/if false {/' pkg/httpserve TestFewEndedConnectionsAreReadOn
try replaced-drawer-declines pkg/prepaid/drawer.go 's/if req\.Drawer != n\.Self \{/if false {/' pkg/prepaid TestReplacedDrawerDeclines
try exhausted-only-if-too-few pkg/prepaid/write.go 's/\(writes > 0 && b\.exceedsLedger\(need\)\)/writes > 0/; s/max\(target-b\.free, b\.waiting\)/target*0/; s/max\(b\.waiting-b\.free, 0\)/0/' pkg/prepaid TestTokensTakenByOthersAreNotExhaustion
try strangers-try-little pkg/prepaid/write.go 's/if !n\.Fleet\.Joined\(\) \{/if false {/' pkg/prepaid TestFleetThatStartsUnderLoadLeavesTheStoreAlone
try unknown-totals-given-up pkg/prepaid/drawer.go 's/&requesterBudget\{returned: d\.Returned\}/&requesterBudget{}/' pkg/prepaid TestForgottenTotalsAreGivenUp
try never-written-is-not-forgotten pkg/prepaid/shard.go 's/ && s\.Forgotten > start\.Turn//' pkg/prepaid TestStoppingAskersLoseNothing
try declined-is-free-again pkg/prepaid/refill.go 's/n\.balance\(id\)\.free \+= d\.returned\[id\] - d\.confirmed\[id\]//' pkg/prepaid TestDeclinedReportsLoseNothing
try doubtful-stays-returned pkg/prepaid/refill.go 's/d\.confirmed\[id\] = sent\.Returned \/\//\/\//' pkg/prepaid TestDoubtfulReturnIsNotFreeAgain
try resting-ends-with-the-outage pkg/prepaid/refill.go 's/d\.backoff, d\.avoidedUntil = 0, time\.Time\{\}/_ = d/' pkg/prepaid TestDrawersAreAskedAgainOnceTheStoreIsBack
try free-tokens-are-counted-once pkg/prepaid/ask.go 's/alone := b\.asked == 0 && attempt == 0/alone := true/' pkg/prepaid TestBurstOfFirstRequestsGetsTokens
try answers-are-set-aside pkg/prepaid/ask.go 's/\|\| need > b\.free/|| need > 0/' pkg/prepaid TestBurstOfFirstRequestsGetsTokens
try overtaking-answers-are-claimed pkg/prepaid/ask.go 's/b\.claimed = min\(max\(b\.claimed, 0\), b\.asked\)/b.claimed = 0/' pkg/prepaid TestBurstOfFirstRequestsGetsTokens
try returned-tokens-are-asked-for-again pkg/prepaid/ask.go 's/if n\.isRefused\(a\) \{/if true {/' pkg/prepaid TestRequestIsServedWhoseInstanceReturnsTokensMeanwhile
try the-short-are-refused-at-once pkg/prepaid/ask.go 's/return a\.short && /return false \&\& a.short \&\& /' pkg/prepaid TestRequestThatTheLedgerCannotServeIsRefusedAtOnce
try a-part-is-held pkg/prepaid/tick.go 's/holdDivisor = 4\.5/holdDivisor = 8/' pkg/prepaid TestAccountThatLastsOutlastsACut
try no-more-than-a-part-is-held pkg/prepaid/loss.go 's/transfer\.Ahead = min\(transfer\.Ahead, allowed\)/transfer.Ahead = max(transfer.Ahead, left-held) + 0*allowed/' pkg/prepaid TestFailuresTakeAtMostAThirdOfWhatIsLeft
try writes-hold-to-a-third pkg/prepaid/loss.go 's/transfer\.Ahead = min\(transfer\.Ahead, allowed\)/_ = allowed/' pkg/prepaid TestWriteDrawsAheadUpToAThirdOfWhatIsLeft
try grants-are-held pkg/prepaid/drawer.go 's/\t\tb\.free \+= ahead[^\n]*\n\t\tbalance\.heldByRequesters \+= ahead\n//' pkg/prepaid TestGrantsAreHeldUntilTheNextReport
try named-drawer-draws pkg/prepaid/refill.go 's/if slices\.Contains\(candidates, n\.Self\) &&/if false \&\& slices.Contains(candidates, n.Self) \&\&/' pkg/prepaid TestNamedDrawerDrawsAheadWhateverItsRank
try replaced-processes-hold-nothing pkg/prepaid/loss.go 's/return h\.Incarnation != ""/return false/' pkg/prepaid TestTokensOfReplacedProcessesAreNotCountedAsHeld
try restarted-is-another pkg/placement/pool.go 's/ \|\| s\.Born != u\.Born//' pkg/placement TestRestartedUpstreamBeginsWithNothing
try kept-views-follow-the-entries pkg/member/state.go 's/\t\tt\.cache = viewCache\{\}\n//' pkg/member TestKeptViewsAreThoseOfTheEntries
try others-take-publishing-over pkg/follow/publisher.go 's/const maxPublishers = 20/const maxPublishers = 3/' pkg/follow TestStoreThatRefusesItsReadersIsReadByAnother
try who-lacks-nothing-gets-nothing pkg/follow/copyserver.go 's/ && since\.Before\(upTo\)//' pkg/follow TestCopyIsHandedOnAsItCameAndToThoseThatLackIt
try kept-hash-follows-the-record pkg/quarantine/table.go 's/\te\.cachedHash = 0\n//' pkg/quarantine TestKeptHashIsThatOfTheRecord
try who-needs-the-store-probes-it pkg/follow/publisher.go 's/if !follower\.needsStore\(\) \{/if false {/' pkg/follow TestCopyThatNeedsTheStoreProbesIt
try lists-are-paced pkg/follow/follow.go 's/\tpause\.For\(ctx, coalescePause\)\n\treturn nil\n\}\n\n\/\/ awaits/\treturn nil\n}\n\n\/\/ awaits/' pkg/follow TestPositionThatNeverComesCostsFewCalls
try questions-in-vain-hold-nothing-back pkg/follow/copyserver.go 's/p\.startOnce\(p\.querying, /p.startOnce(p.catchingUp, /' pkg/follow TestChangeIsFetchedBesideAQuestionInVain
try one-lost-call-is-no-outage pkg/follow/circuitbreaker.go 's/b\.failures >= unavailableAfterFailures/b.failures > 0/' pkg/follow TestOneLostCallIsNoOutageOfTheOtherCopies
try versions-are-read-once pkg/follow/follow.go 's/if f\.prefersList\(\) \{/if false {/' pkg/follow TestVersionsOfACutAreNotReadByEachInstance
try short-watches pkg/follow/timing.go 's/t\.WatchTimeout = min\(watchLimit, /t.WatchTimeout = max(30*time.Second, /' pkg/follow TestLostAnswerHidesNoChange
try times-follow-the-bound pkg/follow/timing.go 's/t\.LastTimeout = min\(lastLimit, bound-reserved-t\.HedgeDelay\)/t.LastTimeout = lastLimit + 0*reserved/' pkg/follow TestLastInstanceToKnowKnowsInTime
try each-kind-of-change-in-time pkg/follow/timing.go 's/t\.LastTimeout = min\(lastLimit, bound-reserved-t\.HedgeDelay\)/t.LastTimeout = lastLimit + 0*reserved/' platform TestLastInstanceHasEachKindOfChangeInTime
try lost-calls-are-made-again pkg/follow/hedge.go 's/timer := time\.NewTimer\(delay\)/timer := time.NewTimer(time.Hour)/' pkg/follow TestLastInstanceToKnowKnowsInTime
try unheard-ask-others pkg/follow/publisher.go 's/p\.querySomePeers\(ctx, name\)/_ = name/' pkg/follow TestLostConfirmationsCostTheStoreNothing
try starting-instances-let-wait pkg/forward/starting.go 's/if remaining <= 0 \{/if remaining < time.Hour {/' pkg/forward TestRequestsWaitForTheConfigurationOfAStartingInstance
try place-is-looked-at-again pkg/forward/attempt.go 's/if !a\.lease\.InService\(\) \{/if false {/' pkg/forward TestUpstreamThatLeavesBeforeTheSendingGetsNothing
try copies-are-guarded pkg/follow/confirm.go 's/timeout := f\.confirmTimeout\(\)\n\t\treason/timeout := time.Hour\n\t\treason/' pkg/follow TestCopiesAreNeverOldOnceTheStoreAnswers
try published-change-is-awaited pkg/follow/freshness.go 's/if !s\.position\.Before\(s\.lastPublished\) \{\n\t\treturn Unconfirmed/if true {\n\t\treturn Unconfirmed/' pkg/follow TestChangeThatNobodyHandsOnIsReadFromTheStore
try confirmations-are-sent pkg/follow/publisher.go 's/err := p\.peers\.Confirm\(ctx, address, confirmation\)/err := error(nil)/' pkg/follow TestCallsOfACalmFleetDoNotGrowWithIt
try older-word-changes-nothing pkg/follow/follow.go 's/if !since\.Before\(upTo\) \|\| \(/if (/' pkg/follow TestOlderWordChangesNothing
try handing-on-is-bounded pkg/follow/copyserver.go 's/ && s\.servedBytes\+size > maxServedBytesPerSecond/ \&\& false/' pkg/follow TestLargeChangeIsHandedOnInTime
try served-with-its-last-change pkg/follow/contents.go 's/uint64\(c\.lastChanged\.Version\)/uint64(since.Version)/; s/last = max\(last, object\.Version\)/_ = object/' pkg/follow TestCopyHandedOnWhileItIsAppliedConfirmsNoOlderOne
try published-with-its-last-change pkg/follow/contents.go 's/uint64\(c\.lastChanged\.Version\)/uint64(since.Version)/; s/last = max\(last, object\.Version\)/_ = object/' pkg/follow TestChangePublishedWhileItIsAppliedConfirmsNoOlderOne
try last-change-covers-the-objects pkg/follow/contents.go 's/last = max\(last, object\.Version\)/_ = object/' pkg/follow TestLastChangeBeforeTheObjectsIsNotTakenOver
try reply-is-as-old-as-its-request pkg/follow/copyserver.go 's/lastChangeOf\(contents\), age\+took/lastChangeOf(contents), age/' pkg/follow TestReplyIsAsOldAsItsRequest
try read-is-as-old-as-its-call pkg/follow/hedge.go 's/sentAt := time\.Now\(\)\n\t\tvalue, err := call\(ctx\)/value, err := call(ctx)\n\t\tsentAt := time.Now()/' pkg/follow TestReadIsAsOldAsTheStoresAnswer
try watch-is-as-old-as-its-wait pkg/follow/follow.go 's/asOf := sentAt\n/asOf := time.Now()\n/' pkg/follow TestReadIsAsOldAsTheStoresAnswer
try list-does-not-know-what-went pkg/follow/contents.go 's/\treturn list\.Position\n\}/\tlast := store.NoPosition\n\tfor _, o := range list.Objects {\n\t\tlast = store.Later(last, o.Position)\n\t}\n\treturn last\n}/' pkg/follow TestListConfirmsNoCopyWithAnObjectThatCameAndWent
try transit-is-counted pkg/follow/receive.go 's/Millisecond\+transit\)/Millisecond+0*transit)/' pkg/follow TestConfirmationIsAsOldAsItsReading
try statements-are-true pkg/follow/receive.go 's/Millisecond\+transit\)/Millisecond+0*transit)/' pkg/follow TestStatementsOfDrawnHistoriesAreTrue
try gaps-lead-to-no-older-copy pkg/follow/follow.go 's/f\.fresh\.currentPosition\(\) \/\/ changes were missed/f.fresh.currentPosition(); f.fresh.reset() \/\/ changes were missed/' pkg/follow TestCopyWithoutHistoryTakesNoOlderOne
try stores-that-go-back-are-followed pkg/follow/follow.go 's/\t\tf\.fresh\.reset\(\)\n//' pkg/follow TestCopyFollowsAStoreThatGoesBackWithinAnEra
try lists-undo-nothing pkg/follow/follow.go 's/f\.fresh\.currentPosition\(\) == goneAt && list\.Position\.Before\(goneAt\)/goneAt != store.NoPosition/' pkg/follow TestListAfterAGapIsOlderThanWhatWasHandedOn
try standing-clocks-are-compared-again pkg/follow/peerclock.go 's/unusual := longest < 0 \|\| longest > maxUsualTransit/unusual := false/' pkg/follow TestClockThatStoodStillIsComparedAgain
try slow-comparisons-are-repeated pkg/follow/peerclock.go 's/receivedAt-requestedAt > maxClockRoundTrip/false/' pkg/follow TestSlowComparisonOfClocksIsRepeated
try needed-clocks-are-compared pkg/follow/receive.go 's/expired && \(known \|\| !p\.areConfirmed\(confirmation\.Copies\)\)/expired/' pkg/follow TestClocksAreComparedWithNeededSendersOnly
try outage-end-comes-first pkg/follow/receive.go 's/\tif state\.Changes != nil \{\n\t\tf\.ApplyContents\(state\.Changes\)\n\t\}\n//; s/\tif state\.SinceOutageMs > 0 \{/\tif state.Changes != nil {\n\t\tf.ApplyContents(state.Changes)\n\t}\n\tif state.SinceOutageMs > 0 {/' pkg/follow TestOutageEndIsKnownBeforeTheChangesOfItsConfirmation
try contradictions-are-reported pkg/follow/contradiction.go 's/if !contradicted \|\|/if contradicted ||/' pkg/follow TestStatementThatTheCopyContradictsIsReported
try outdated-is-not-final pkg/forward/forwarder.go 's/f\.ConfigCurrent == nil \|\| f\.ConfigCurrent\(\)/true/' pkg/forward TestOutdatedConfigurationRefusesForTheTimeBeing
try behind-is-not-current pkg/follow/confirm.go 's/ && !f\.fresh\.isBehind\(\)//' pkg/follow TestCopyIsCurrentOnlyIfConfirmedAndNotBehind
try suspicion-is-refuted pkg/member/state.go 's/m\.State != memberpb\.State_ALIVE && m\.Revision >= t\.self\.Revision/false/' pkg/member TestTablesAreWholeAfterACutOfADomain
try cut-off-accuses-nobody pkg/member/prober.go 's/case result\.Answered > 0 \|\| /case true || /' pkg/member TestCutOfAllMakesNobodySilent
try drawer-is-named pkg/prepaid/named.go 's/if name == "" \|\| name == n\.Name \{/if true {/' pkg/prepaid TestOneDomainStepsInForAll
try unknown-drawer-is-met pkg/prepaid/named.go 's/ \|\| n\.isDiscovering\(shard, s\.Drawer\)//' pkg/prepaid TestDrawersThatDoNotKnowEachOtherGiveWay
try joining-do-not-draw pkg/prepaid/drawer.go 's/if !n\.Fleet\.Joined\(\) \{/if false {/' pkg/prepaid TestCollisionsEndAfterAStartOfAll
try lost-draws-are-brought-back pkg/prepaid/shard.go 's/if lost := transfer\.Known\.Drawn - counter\.Drawn; lost > 0 \{/if lost := int64(0); lost > 0 {/' pkg/prepaid TestNeverMoreThanPrepaidWhenTheStoreGoesBack
try unsettled-draws-nothing pkg/prepaid/shard.go 's/if s\.Unsettled \{\n\t\treturn counter/if false {\n\t\treturn counter/' pkg/prepaid TestNeverMoreThanPrepaidWhenTheStoreGoesBack
try all-are-waited-for pkg/prepaid/recovery.go 's/if waited && n\.allReported\(s\.Reported\) \{/if waited {/' pkg/prepaid TestNeverMoreThanPrepaidWhenTheStoreGoesBack
try told-is-for-one-era pkg/prepaid/recovery.go 's/r\.reported, r\.numMergedReports = nil, 0/r.numMergedReports = 0/' pkg/prepaid TestWhoToldForAnEarlierEraTellsAgain
try older-draws-are-not-taken-over pkg/prepaid/write.go 's/if max\(after\.Era, firstEra\) < n\.minEra \{/if false {/' pkg/prepaid TestDrawOfAnEraThatIsOverIsNotTakenOver
try dealt-tokens-tell-their-draw pkg/prepaid/drawer.go 's/Drawn: balance\.counter\.Drawn\}/Drawn: 0}/' pkg/prepaid TestAskersKnowTheDrawOfWhatTheyWereDealt
try draws-are-witnessed pkg/prepaid/write.go 's/witnessErr := n\.ensureWitnessed\(ctx, shard, after\)/var witnessErr error/' pkg/prepaid TestDrawOfAWriterThatDiesAtOnceIsNotSpentTwice
try witnessed-draws-are-told pkg/prepaid/recovery.go 's/append\(n\.witnessedRows\(shard\), stored/append([]seenRow(nil), stored/' pkg/prepaid TestDrawOfAWriterThatDiesAtOnceIsNotSpentTwice
try told-of-an-era-that-is-over pkg/prepaid/witness.go 's/max\(req\.Era, firstEra\) < n\.minEra \|\| //' pkg/prepaid TestDrawIsNotWitnessedOnceItsEraHasBeenTold
try apart-groups-meet pkg/meeting/meeting.go 's/if !m\.IsRegistrar\(\) \{/if true {/' pkg/meeting TestHalvesFindEachOtherAfterALongCut
try listed-are-asked-again pkg/meeting/meeting.go 's/maxListedAttempts = 3/maxListedAttempts = 0/' pkg/meeting TestInstancesThatStartTogetherAreOneFleet
try leaving-stays-leaving pkg/registry/registry.go 's/u = r\.withStaleAsLeaving\(u\)/_ = r.withStaleAsLeaving/' pkg/registry TestLeavingStaysLeavingWhenTheStoreGoesBack
try later-eras-are-later pkg/store/position.go 's/if p\.Era != other\.Era \{/if false {/' pkg/follow TestCopiesFollowTheStoreIntoALaterEra
try later-era-is-no-answer platform/store.go 's/if era != since\.Era \{/if false {/' platform TestAnswersOfALaterEraAreNoAnswers
try higher-number-is-handed-on pkg/follow/contents.go 's/c\.retained\[now\.Key\] = true\n\tnow\.Value = before\.Value/_ = before/' pkg/follow TestDocumentOfAHigherNumberIsHandedOn
try claims-are-brought-back pkg/claim/recovery.go 's/\t\t\ts\.Claims\[key\] = claim/\t\t\t_ = claim/' pkg/claim TestAtMostOneRequestOfAKeyRunsWhenTheStoreGoesBack
try unsettled-keys-are-not-free pkg/claim/claimer.go 's/if s\.Unsettled && s\.Claims\[key\] == nil \{\n\t\t\treplace/if false {\n\t\t\treplace/' pkg/claim TestAtMostOneRequestOfAKeyRunsWhenTheStoreGoesBack
try own-full-link-is-noticed pkg/overload/limit.go 's/\tcase slow:/\tcase slow \&\& false:/' pkg/overload TestOverloadedInstanceServesWhatItsLinkCarries
try own-delay-is-no-full-link pkg/overload/limit.go 's/l\.Delay\.Extend\(maxFastReply\)/maxFastReply/' pkg/overload TestOwnDelayIsNoFullLink
try told-meanwhile-is-kept pkg/prepaid/recovery.go 's/reported\.serial <= r\.mergedSerial/reported.serial >= 0/' pkg/prepaid TestWhatIsToldDuringAWriteIsNotLost
try an-end-counts-once pkg/follow/freshness.go 's/at\.Sub\(s\.outageEndedAt\) < sameOutageTolerance/at.Before(s.outageEndedAt)/' pkg/follow TestEndOfAnOutageCountsOnceAndAsOfItsTime
try cut-off-alone-is-no-outage pkg/follow/follow.go 's/outage := !f\.Confirmed\w+\(\)/outage := true/' pkg/follow TestInstanceThatIsCutOffAloneHasNoOutage
try documents-are-watched-shortly pkg/configsync/syncer.go 's/watchTimeout = 2 \* time/watchTimeout = 20 * time/' pkg/configsync TestLostWatchHidesNoDocument
try faulty-entry-is-out platform/copies.go 's/c\.Registry\.Discard\(id\)\n\t\treturn/return/' platform TestFaultyEntriesAreToldOnceAndTheOthersHold
q=pkg/quarantine
try three-crashes-condemn $q/record.go 's/return consecutive >= \w+ \|\| \(consecutive > 0 && r\.Verdict > r\.Cleared\)/return consecutive < 0/' test TestRequestThatCrashesUpstreamsIsSentOnAFewTimesOnly
try own-door-counts-crashes pkg/entry/crash.go 's/evidence = quarantine\.(ConnectionEnded|NoAnswer)/evidence = quarantine.NoEvidence/g' test TestOwnDoorSendsAFatalRequestAFewTimesOnly
try crash-is-no-reset pkg/httpconn/prober.go 's/return Answering/return Crashed/' pkg/httpconn TestLookoutTellsCrashedFromReset
try suspects-run-one-at-a-time $q/table.go 's/e\.Started > e\.Ended && now\.Before\(e\.trialExpiry\)/false/' $q TestSuspectedRequestsRunOneAtATime
try crashes-are-told $q/spread.go 's/\t\t\ts\.push\(ctx\)\n//; s/\t\t\ts\.compare\(ctx, address\)\n/\t\t\t_ = address\n/' $q TestFewUpstreamsCrashUnderOneRequest
try lost-pushes-are-repeated $q/spread.go 's/pushAttempts = 2/pushAttempts = 1/' $q TestCrashIsToldAgainAfterALostMessage
try pushes-reach-nearly-all $q/spread.go 's/fanout = 10/fanout = 6/' $q TestCrashIsSoonKnownAlmostEverywhere
try differing-tables-are-compared $q/spread.go 's/\t\t\ts\.compare\(ctx, address\)\n/\t\t\t_ = address\n/' $q TestInstanceThatStartsLearnsWhatIsCondemned
try answers-clear $q/table.go 's/return raise\(&e\.Cleared, e\.lastCrashOrdinal\(\)\) \|\| ended \|\| refuted/return ended || refuted/' $q TestAnswerClearsASuspectedRequest
try crashes-together-condemn-nobody $q/table.go 's/!t\.recent\.hasUnexplainedAt\(e\.crashedUpstreams, at\)/true/' $q TestManyUpstreamsThatCrashTogetherCondemnNobody
try one-word-condemns-nobody $q/record.go 's/reporters > 1 \|\| r\.Crashes\[instance\] > r\.Cleared/true/' $q TestWordOfOneInstanceDoesNotCondemn
try condemned-are-not-evicted $q/bound.go 's/ \|\| e\.IsCondemned\(\)//' $q TestTableFullOfCondemnedKeepsThem
try verdicts-are-stored-again pkg/router/era.go 's/\tr\.quarantine\.StoreAgain\(\)\n//' test TestCondemnedRequestStaysSoAfterALossOfAll
try verdicts-are-recovered pkg/router/background.go 's/\tr\.runInBackground\(r\.recoverVerdicts\)\n//' test TestCondemnedRequestStaysSoAfterALossOfAll
try starts-wait-for-the-quarantine pkg/router/background.go 's/return r\.awaitQuarantine\(ctx\)/return true/; s/\tr\.runInBackground\(r\.quarantine\.Spread\)\n//; s/\tr\.runInBackground\(r\.recoverVerdicts\)\n//' test TestStartingInstanceKnowsWhatIsCondemned
try endings-are-undecided $q/conclude.go 's/suspected := r\.NoteConnectionEnd\(attempt\.Origin, attempt\.Upstream, at\)/suspected := false/' test TestCrashIsKnownByTheNextIncarnation
try undecided-endings-hold-back $q/table.go 's/return undecided > 0 && .*/return false \&\& undecided+crashes > 0/' $q TestUndecidedEndingsHoldARequestBack
try same-process-refutes $q/undecided.go 's/key\.Incarnation != incarnation$/true/m' $q TestEndingIsRefutedByTheSameIncarnation
try process-crashes-once $q/ending.go 's/ \|\| \(other\.Address == key\.Address && other\.Incarnation == key\.Incarnation\)//' $q TestProcessCrashesOnce
try orderly-ends-are-no-crashes $q/undecided.go 's/key\.Incarnation == incarnation && e\.At\.Before\(at\)/key.Incarnation == incarnation/' $q TestEndingAfterTheEntryWentIsNoCrash
try leaving-is-no-crash pkg/registry/occupant.go 's/!before\.Leaving/true/' pkg/registry TestSupersededIncarnationsAreTold
try accounts-share-repeats pkg/retrylimit/limit.go 's/return used == 0 \|\| float64/return true || float64/' pkg/retrylimit TestOneAccountDoesNotTakeAllRepeats
try lost-confirmations-are-sent-again pkg/follow/publisher.go 's/err != nil && hasChange/err != nil && hasChange && began.IsZero()/' pkg/follow TestChangeWhoseConfirmationIsLostIsToldAgain
try passed-over-writes-pause pkg/prepaid/write.go 's/errors\.Is\(f\.err, errStillUnsettled\)/errors.Is(f.err, ErrUnsettled)/' pkg/prepaid TestLedgerOfAnEraTakenForOverIsNotWrittenWithoutAPause
try emptied-domains-are-out pkg/registry/registry.go 's/ && !r\.emptied\.domains\[u\.Domain\]//' test TestEmptiedDomainGetsNothing
try own-door-knows-emptied-domains pkg/dispatch/picker.go 's/ \|\| p\.emptied\[upstream\.Domain\]//' test TestOwnDoorSendsNothingToAnEmptiedDomain
try emptied-stay-in-a-later-era pkg/registry/emptied.go 's/case newEra:/case newEra && e.retainedUntil == nil:/' pkg/registry TestEmptiedDomainStaysOutWhenTheStoreGoesBack
try older-lists-restore-nothing pkg/registry/emptied.go 's/if position\.Before\(e\.position\) \{/if false {/' pkg/registry TestEmptiedDomainIsOutUntilItIsRestored
try cold-limit-at-the-choice pkg/placement/pool.go 's/ \|\| !p\.withinColdLimit\(s, now\)//' pkg/placement TestColdUpstreamGetsWhatItTakes
try returned-are-cold pkg/placement/pool.go 's/assumeReturnedCold\(before,/assumeReturnedCold(before[:0],/' pkg/placement TestReturnedUpstreamIsTakenForCold
try cold-before-the-sending pkg/placement/pool.go 's/ && l\.withinColdLimit\(\)//' pkg/placement TestUpstreamThatTurnsColdAfterTheChoiceGetsNothing
try suspected-are-asked pkg/forward/attempt.go 's/if failed := a\.checkCold\(\); failed != nil \{/if failed := (*failure)(nil); failed != nil {/' pkg/forward TestSilenceCostsNoColdTime
try words-of-the-cold-bind pkg/forward/coldcheck.go 's/check\.Conclude\(health\.Cold\)/check.Conclude(0)/' pkg/forward TestUpstreamThatGoesOnColdGetsWhatItTakes
try others-words-are-no-words pkg/forward/coldcheck.go 's/ && health\.Instance == a\.lease\.ID//' pkg/forward TestOnlyTheAddressedProcessIsBelieved
try untold-is-no-word platform/health.go 's/if err == nil && /if err != nil || /' platform TestHealthThatDoesNotTellIsNoWord
try health-checks-name-the-process platform/health.go 's/buf = appendHeader\(buf, headerExpectedInstance, instance\)/_ = instance/' platform TestHealthCheckNamesTheProcess
try words-before-a-failure pkg/placement/cold.go 's/if s\.numSuspicions == c\.suspicion \{/if true {/' pkg/placement TestWordBeforeAFailedConnectionIsNotTaken
try questions-take-a-place pkg/placement/cold.go 's/\tl\.countedAsCold = false\n//' pkg/placement TestQuestionTakesThePlaceOfARequest
try not-connected-takes-no-place pkg/forward/attempt.go 's/\t\ta\.lease\.ReportNotConnected\(\)\n//' pkg/forward TestSilenceCostsNoColdTime
try not-sent-is-taken-back pkg/coldlimit/limit.go 's/if n := slices\.Index\(sent, at\); n >= 0 \{/if n := 0; len(sent) > 0 {/' pkg/coldlimit TestWhatWasNotSentIsTakenBack
try asked-once pkg/placement/cold.go 's/ \|\| s\.lastAsked == s\.numSuspicions//' pkg/placement TestUpstreamIsAskedOnce
try sides-share-the-bound pkg/coldlimit/limit.go 's/max\(limit\/maxSides, 1\)/limit/' pkg/coldlimit TestAllInstancesTogetherStayWithinTheBound
try silent-keep-their-rank pkg/coldlimit/limit.go 's/nameLifetime = 10 \* time\.Minute/nameLifetime = time.Millisecond/' pkg/coldlimit TestSilentInstancesKeepTheirRank
try starts-send-nothing-to-the-cold pkg/coldlimit/limit.go 's/if l\.now\(\)\.Sub\(l\.startedAt\) < window \{/if false {/' pkg/coldlimit TestAllInstancesTogetherStayWithinTheBound
try drawers-name-lenders pkg/prepaid/drawer.go 's/; len\(lenders\) > 0 \{/; len(lenders) > 99 {/' pkg/prepaid TestDrawerNamesWhoHoldsTokensInAnOutage
reach=pkg/reach tunnel=pkg/tunnel
try lost-links-are-bypassed pkg/router/links.go 's/Direct: direct, Tunnels: tunnels,/Direct: direct,/' test TestInstanceWithoutUpstreamsServes
try others-are-asked-after-a-failure $reach/connector.go 's/\t\t\ta\.directErr = r\.err\n\t\t\ta\.startTunnel\(\)/\t\t\ta.directErr = r.err/; s/case <-hedge\.C:\n\t\t\ta\.startTunnel\(\)/case <-hedge.C:/' $reach TestLostLinkIsBypassed
try own-delay-is-no-lost-link $reach/direct.go 's/d\.Delay\.WithTimeout\(context/(*owndelay.Meter)(nil).WithTimeout(context/' $reach TestOwnDelayIsNoLostLink
try own-delay-extends-no-deadline $reach/connector.go 's/if !target\.Deadline\.IsZero\(\)/if false/' $reach TestOwnDelayExtendsNoDeadline
try arrived-connections-are-used $reach/connector.go 's/return a\.takeEstablished\(\)/return Connection{}, a.ctx.Err()/' $reach TestConnectionThatHasArrivedIsUsed
try late-waits-are-extended pkg/owndelay/owndelay.go 's/remaining := w\.meter\.Extend\(w\.timeout\)/remaining := w.timeout/' pkg/owndelay TestWaitIsExtendedByTheOwnDelay
try old-delays-are-forgotten pkg/owndelay/owndelay.go 's/time\.Since\(m\.delays\[0\]\.at\) > lifetime/false/' pkg/owndelay TestDelaysAreForgotten
try lost-links-are-known $reach/paths.go 's/len\(failed\) >= minFailedAddresses/len(failed) > 99/' $reach TestLostLinkIsKnownForTheWholeService
try heard-is-reached $reach/paths.go 's/if f\.at\.After\(s\.heardAt\) \{/if true {/' $reach TestCrashedUpstreamsAreNoLostLink
try connections-end-with-requests $reach/connector.go 's/if !target\.Deadline\.IsZero\(\) \{/if false {/' $reach TestConnectionWaitsNoLongerThanTheRequest
try links-that-are-back-are-found $reach/connector.go 's/if paths\.StartCheck\(a\.target\.Service, a\.target\.Address\) \{/if false {/' $reach TestLinkThatIsBackIsUsed
try refusals-are-verified pkg/router/router.go 's/r\.verifier\.Verify, time/func(string) httpconn.PeerState { return httpconn.Crashed }, time/' test TestLostLinksSuspectNoRequest
try others-confirm-crashes $reach/verifier.go 's/if w\.Accepts \{/if false {/' $reach TestRefusalIsVerified
try crashes-are-compared $reach/verifier.go 's/!confirmed && !v\.reachesOthers\(address\)/false/' $reach TestRefusalIsVerified
try fast-replies-are-no-overload pkg/overload/limit.go 's/if l\.mostRepliesFast\(now\) \{/if false {/' pkg/overload TestLostUpstreamsAreNoOverload
try tunnels-break-off-visibly $tunnel/conn.go 's/return n, errBrokeOff/return n, io.EOF/' $tunnel TestResetIsNoEndOfAnAnswer
try surplus-bytes-end-connections $tunnel/service.go 's/t\.finish\.ReceivedBytes != t\.received/false/' $tunnel TestConnectionWithSurplusBytesIsNotKept
try closed-tunnels-close-connections $tunnel/service.go 's/\tt\.mu\.Unlock\(\)\n\tt\.conn\.Close\(\)/\tt.mu.Unlock()/' $tunnel TestBrokenOffTunnelClosesTheConnection
try tunnels-lead-to-listed-upstreams $tunnel/service.go 's/if !listed \{/if !listed \&\& maxConnections > 0 {/' $tunnel TestTunnelsLeadToListedUpstreamsOnly
try full-links-carry-none $tunnel/service.go 's/active > maxTunnels \|\| .* \{/active > maxTunnels {/' $tunnel TestTunnelsLeadToListedUpstreamsOnly
try instances-without-links-decline $tunnel/service.go 's/if !d\.Paths\.Reaches\(t\.GetService\(\), t\.GetAddress\(\)\) \{/if false {/' $tunnel TestInstancesWithoutLinksAreSkipped
origin=pkg/origin
try versions-bind-the-choice pkg/placement/pool.go 's/\(r\.Version == "" \|\| s\.Version == r\.Version\) && //' test TestBrokenStreamGoesOnAtTheVersionThatBeganIt
try unknown-origins-are-refused pkg/forward/origin.go 's/if !c\.resumesStream\(\) \{/if true {/' test TestStreamsOfUnknownVersionAreRefused
try resumed-streams-are-bound pkg/forward/origin.go 's/if !c\.resumesStream\(\) \{/if true {/' test TestStreamResumedByItsClientGoesOnAtTheVersionThatBeganIt
try answers-name-their-request platform/answer.go 's/if len\(ids\) != 1 \|\| ids\[0\] != requestID \{/if false {/' test TestForeignAnswersProveNothing
try resumed-streams-know-the-process pkg/forward/identity.go 's/if a\.c\.origin != nil && !a\.isIdentified\(\) \{/if false {/' test TestStreamsDoNotGoOnAtUpstreamsRestartedInPlace
try answers-know-the-process pkg/forward/identity.go 's/if a\.c\.origin != nil && !a\.isIdentified\(\) \{/if false {/' test TestBrokenStreamDoesNotGoOnAtAnUpstreamRestartedInPlace
try records-know-the-process pkg/forward/identity.go 's/case a\.isIdentified\(\):/case true:/' test TestStreamsBegunBeforeAnEntryGoOnAtTheRightVersion
try gone-versions-are-refused pkg/placement/pool.go 's/\(r\.Version == "" \|\| s\.Version == r\.Version\) && //' test TestStreamOfAVersionThatIsGoneIsRefused
try records-are-held-elsewhere $origin/directory.go 's/d\.sendCopies\(ctx, d\.takePending\(r\)\)/d.takePending(r)/' test TestStreamOfALostInstanceGoesOnAtTheVersionThatBeganIt
try records-are-handed-over pkg/router/stop.go 's/stop\.handOver = r\.origins\.HandOver/stop.handOver = func(context.Context) {}/' test TestStreamOutlivesAPlannedRestartOfEachInstance
try resumptions-are-recorded pkg/forward/origin.go 's/if !c\.route\.Resumable \|\|/if c.resumesStream() ||/' test TestStreamGoesOnInAChainOfRetries
try copies-are-in-several-domains $origin/ranking.go 's/\*best\.numInDomain\+\+//' $origin TestRecordsSurviveTheLossOfAnInstanceOrADomain
try once-requests-do-not-outlast-stops pkg/forward/forwarder.go 's/route\.Kind == routing\.Once \|\| //' test TestRequestsThatMayOutlastAPlannedStopAreNotPassedOn
try records-are-stored $origin/archive.go 's/\tcase <-tick\.C:\n\t\t\td\.writeArchive\(ctx\)/\tcase <-tick.C:/' $origin TestRecordsSurviveTheLossOfAllInstances
try first-write-keeps-records $origin/archive.go 's/\td\.mergeArchive\(object\)\n\ta\.position/\ta.position/' $origin TestFirstWriteKeepsStoredRecords
try stored-records-are-read-seldom $origin/archive.go 's/Add\(loadInterval\), 0/Add(loadRetryInterval), 0/' $origin TestStoredRecordsAreReadSeldom
try accounts-have-their-own-records $origin/origin.go 's/account \+ "\\x00" \+ requestID/requestID/' $origin TestAccountsDoNotShareRecords
try reused-ids-lead-nowhere $origin/table.go 's/ \|\| known\.origin != r\.origin//' $origin TestReusedIDIsAConflict
try lookups-are-bounded $origin/directory.go 's/make\(chan struct\{\}, maxLookups\)/make(chan struct{}, 100*maxLookups)/' $origin TestLookupsInProgressAreBounded
try services-bind-the-choice pkg/forward/origin.go 's/return began\.Service, nil/return c.route.SelectService(c.r.ID), nil/' pkg/forward TestResumedStreamStaysAtItsServiceOnADividedRoute
try moved-routes-refuse pkg/forward/origin.go 's/err == nil && !c\.route\.LeadsTo/false \&\& !c.route.LeadsTo/' pkg/forward TestStreamThatCannotGoOnIsRefusedAndNotRun
try own-door-knows-the-process pkg/upstream/stream.go 's/incarnation != "" && s\.Incarnation != incarnation/false/' test TestCutStreamIsNotResumedAtAnotherProcess
try silence-is-waited-for pkg/httpconn/silence.go 's/if wait, err = s\.watch\.OnSilence\(\); err != nil \{/if true {/' pkg/forward TestSilentUpstreamIsWaitedForWithoutARetry
try failed-hedge-ends-nothing pkg/forward/hedge.go 's/if h\.failed == nil \{\n\t\t\tc\.hedges\.done <- h/if true {\n\t\t\tc.hedges.done <- h/' pkg/forward TestFailedAttemptBesideASilentOneEndsNothing
try silent-attempt-is-taken-over pkg/forward/hedge.go 's/if c\.unnumbered \|\| c\.numSent >= c\.route\.MaxAttempts \{\n\t\treturn false/if true {\n\t\treturn false/' pkg/forward TestAnotherUpstreamTakesOverFromASilentOne
try one-upstream-goes-on pkg/forward/stream.go 's/\tc\.abandonHedges\(\)\n\tif !c\.begun \{\n\t\tc\.begun/\tif !c.begun {\n\t\tc.begun/' pkg/forward TestAttemptBesideOneThatGoesOnIsCanceled
try unsent-is-no-retry pkg/forward/hedge.go 's/\tc\.serviceState\.limit\.Release\(h\.retry\)\n//' pkg/forward TestUnsentAttemptIsNoRetry
try own-delay-is-no-silence pkg/httpconn/silence.go 's/\treturn s\.raw\.Read\(p\)\n\}\n\n\/\/ setReadDeadline/\treturn n, err\n}\n\n\/\/ setReadDeadline/' pkg/httpconn TestArrivedDataIsNoSilence
try reads-end-at-the-deadline pkg/httpconn/silence.go 's/if !time\.Now\(\)\.Before\(s\.watch\.Deadline\) \{\n\t\treturn 0, os\.ErrDeadlineExceeded\n\t\}\n//' pkg/httpconn TestReadsEndAtTheDeadline
try silent-upstreams-get-nothing-new pkg/forward/hedge.go 's/\ta\.lease\.ReportSilent\(\)[^\n]*\n//' pkg/forward TestSilentUpstreamGetsNoNewRequests
try resumed-only-after-an-id pkg/forward/call.go 's/c\.unnumbered \|\| \(c\.numMayHaveRun/false || (c.numMayHaveRun/' pkg/forward TestStreamIsResumedOnlyAfterAnEventWithAnID
try whole-answers-end-no-stream pkg/forward/attempt.go 's/case a\.resumes:/case false:/' pkg/forward TestStreamThatCannotBeResumedIsCutOff
try short-silences-end-no-connection pkg/httpconn/httpconn.go 's/upstreamAckTimeout = 3500/upstreamAckTimeout = 2500/' pkg/httpconn TestSilenceOfTwoSecondsEndsNoConnection
try lasting-silences-end-connections pkg/httpconn/httpconn.go 's/, Control: setAckTimeout\(ackTimeout\)//' pkg/httpconn TestLastingSilenceEndsTheConnection
try begun-streams-wait-for-the-unreached pkg/forward/call.go 's/c\.awaitUnreached\(ctx, failure\)/false/' pkg/forward TestBegunStreamOutlastsUnreachedUpstreams
try unreached-are-not-awaited-for-long pkg/forward/unreached.go 's/if !c\.begun \|\| c\.declined/if c.declined/' pkg/forward TestRequestIsNotKeptForUnreachedUpstreams
try closed-connections-are-no-reason-to-repeat pkg/forward/call.go 's/c\.numMayHaveRun > 0 && !c\.route\.Retryable\(\)/false/' pkg/forward TestConnectionClosedUnderARequestIsNoReasonToSendItAgain
try silence-is-no-crash pkg/forward/attempt.go 's/if httpconn\.IsTimeout\(err\) \{/if httpconn.IsTimeout(err) \&\& false {/' pkg/forward TestSilentUpstreamIsNoCrash
try stopping-carriers-decline pkg/tunnel/service.go 's/s\.refusing\.Load\(\) \|\| //' pkg/tunnel TestStoppingCarrierFinishesItsTunnels
try lost-paths-are-no-crash pkg/forward/attempt.go 's/ && !errors\.Is\(err, reach\.ErrPathLost\)//' pkg/forward TestSilentUpstreamIsNoCrash
try lost-carriers-are-told pkg/tunnel/conn.go 's/if !errors\.Is\(err, io\.EOF\) \{/if false {/' pkg/tunnel TestLossOfTheCarrierIsNoEndOfAnAnswer
try silent-links-of-carriers-are-told pkg/tunnel/service.go 's/if t\.silent \{/if false {/' pkg/tunnel TestSilenceOfTheCarriersLinkIsNoEndOfTheUpstream
try reservations-outlast-changes pkg/forward/call.go 's/\tdefer c\.settleReservation\(\)\n//' pkg/forward TestRequestInProgressOutlastsChanges
try waiting-connections-are-accepted pkg/httpserve/listener.go 's/conn, err = l\.acceptQueued\(\)/_ = l.Close()\n\t\terr = net.ErrClosed/' pkg/door TestWaitingConnectionsAreRefusedBeforeClosing
try new-connections-are-refused-first pkg/httpserve/refuse_linux.go 's/noInterface = 1 << 30/noInterface = 0/' pkg/httpserve TestNewConnectionsAreRefusedBeforeTheQueueIsEmptied
try refusals-are-written-out pkg/httpserve/closing.go 's/\ts\.endConns\(ctx\)\n//' pkg/door TestRefusalIsWrittenOutBeforeClosing
try closed-connections-linger pkg/httpserve/conn.go 's/if lingers \&\& c/if lingers \&\& false \&\& c/' pkg/door TestBytesBehindTheLastRequestDestroyNoAnswer
try only-idle-connections-end pkg/httpserve/conn.go 's/if c\.fresh && c\.numReading > 0/if c.numReading > 0/; s/case c\.fresh && ending:/case ending:/' pkg/httpserve TestRequestOnItsWayIsRefusedBeforeClosing
try buffered-requests-are-on-their-way pkg/httpserve/conn.go 's/c\.fresh = c\.reader\.Len\(\) == 0/c.fresh = true/' pkg/httpserve TestRequestReceivedWithAnotherIsRefusedBeforeClosing
try last-look pkg/httpserve/conn.go 's/case c\.fresh && ending && c\.hasUnread\(\):/case false:/' pkg/httpserve TestRequestThatArrivesAsItsConnectionEndsIsRead
try deadline-is-put-back pkg/httpserve/conn.go 's/\t\t_ = c\.Conn\.SetReadDeadline\(c\.readDeadline\)\n//' pkg/httpserve TestRequestThatBeginsAsItsConnectionEndsIsReadOn
try idle-connections-end pkg/httpserve/closing.go 's/\t\t\tc\.endIfIdle\(\)\n/\t\t\t_ = c\n/' pkg/httpserve TestIdleConnectionsEndSilently
try served-requests-are-cut-in-time pkg/httpserve/closing.go 's/\t\tc\.cutIfServing\(\)\n/\t\t_ = c\n/' pkg/httpserve TestCloseEndsByItsDeadline
try encrypted-connections-end-in-order pkg/httpserve/closing.go 's/\ts\.endConns\(ctx\)\n//' pkg/httpserve TestEncryptedConnectionsEndInOrder
try stops-answer-to-the-end pkg/httpserve/closing.go 's/\ts\.endConns\(ctx\)\n//' test TestPlannedStopAnswersToTheEnd
try own-door-answers-to-the-end pkg/instance/run.go 's/i\.clientServer\.CloseBy\(.*\)\n/i.clientServer.Close()\n/; s/\t"github.com\/lavenderring\/lavenderring\/pkg\/httpserve"\n//' test TestPlannedStopOfTheOwnDoorAnswersToTheEnd
try stops-wait-for-tunnels pkg/router/stop.go 's/return s\.stoppingClients\.NumActive\(\) \+ s\.tunnels\.NumActive\(\)/return s.stoppingClients.NumActive()/; s/for s\.tunnels\.NumActive\(\) > 0 \{/for false {/' pkg/router TestStopWaitsForTunnels
try stopping-carriers-wait pkg/router/stop.go 's/return s\.stoppingClients\.NumActive\(\) \+ s\.tunnels\.NumActive\(\)/return s.stoppingClients.NumActive()/; s/for s\.tunnels\.NumActive\(\) > 0 \{/for false {/; s/unreadyPeriod = 3500 /unreadyPeriod = 1 /' test TestStoppingCarrierCutsNoRequest
try wants-of-descriptors-pass pkg/httpserve/listener.go 's/err != nil \&\& !isTransient\(err\)/err != nil/' pkg/httpserve TestServerOutlivesAWantOfDescriptors
try heads-are-bounded pkg/httpconn/headlimit.go 's/if !l\.limited \{/if true {/' pkg/httpconn TestHeadWithoutEndIsCutOff
try head-bound-ends-with-the-head pkg/httpconn/headlimit.go 's/func \(l \*headLimit\) end\(\) \{ l\.limited = false \}/func (l *headLimit) end() {}/' pkg/httpconn TestBoundOnHeadsLeavesBodiesAndLaterHeadsAlone
try long-heads-are-recognised pkg/httpconn/httpconn.go 's/case c\.limit\.exceeded:/case errors.Is(err, ErrHeadTooLong):/' pkg/httpconn TestHeadWithoutEndIsCutOff
try answers-are-never-cut pkg/forward/answerbuffer.go 's/if len\(b\.data\) >= b\.limit \{\n\t\treturn errAnswerTooLong/if len(b.data) >= b.limit {\n\t\treturn io.EOF/' pkg/forward TestLongAnswerIsNeverCut
try buffers-are-counted pkg/forward/answerbuffer.go 's/b\.memory\.Resize\(size\); err/error(nil); err/' pkg/forward TestSoundAnswersAreServedBesideEndlessOnes
try given-up-streams-are-no-crashes pkg/forward/stream.go 's/\t\terr = errIncomplete\n/\t\treturn errIncomplete\n/' pkg/forward TestStreamThatIsGivenUpIsNotEndedByItsUpstream
try endless-is-no-crash pkg/forward/attempt.go 's/failed\.connEnded = !isTooLong\(err\) && /failed.connEnded = /' pkg/forward TestRequestGoesElsewhereWhenAnUpstreamSendsWithoutEnd
try events-end-in-two-reads pkg/forward/answerbuffer.go 's/max\(b\.searched-len\("\\r\\n\\r\\n"\)\+1, 0\)/b.searched/' pkg/forward TestEndOfAnEventIsFoundInTwoReads
try largest-is-given-up pkg/buffermem/buffermem.go 's/victim := p\.largestAbove\(bytes\)/victim := (*Hold)(nil)/' pkg/buffermem TestEndlessAnswersLeaveRoomForSmallOnes
try whole-answers-stay pkg/buffermem/buffermem.go 's/bytes == 0 \|\| h\.whole/bytes == 0/; s/\tdelete\(h\.pool\.growing, h\)\n\treturn nil/\treturn nil/' pkg/buffermem TestWholeAnswersAreNotGivenUp
try small-buffers-are-spared pkg/buffermem/buffermem.go 's/bytes = max\(bytes, p\.spared\)//' pkg/buffermem TestSmallBuffersAreSpared
try answers-wait-for-slow-clients pkg/buffermem/buffermem.go 's/victim == nil && p\.used/false \&\& p.used/' pkg/forward TestAnswerWaitsForTheMemoryOfSlowClients
try wait-for-room-ends pkg/buffermem/buffermem.go 's/case <-h\.ctx\.Done\(\):/case <-make(chan int):/' pkg/buffermem TestWaitForRoomEnds
try freed-memory-wakes pkg/buffermem/buffermem.go 's/\t\tclose\(p\.freed\)\n\t\tp\.freed = nil\n/\t\t_ = p.freed\n/' pkg/buffermem TestLargestAnswerWaitsForWholeOnes
try delivered-memory-is-returned pkg/forward/call.go 's/\t\ta\.discard\(\)\n\t\}\n\ttook/\t}\n\ttook/' pkg/forward TestLongAnswerIsNeverCut
try memory-until-written pkg/httpserve/httpserve.go 's/c\.Next\(ctx\)/c.Next(ctx)\n\ts.active.Finish(ctx, c)/' pkg/httpserve TestOnWrittenWaitsForASlowClient
try answer-memory-is-a-share pkg/settings/resources.go 's/r\.MemoryMB << 20 \* answerMemoryPercent \/ 100/r.MemoryMB << 20/' pkg/settings TestMemoryForAnswersIsAShareOfTheProcess
try own-door-heads pkg/httpconn/headlimit.go 's/l\.remaining <= 0/false/' pkg/httpcall TestHeadWithoutEndIsCutOff
try own-door-too-long pkg/upstream/upstream.go 's/errors\.Is\(err, httpconn\.ErrHeadTooLong\) \|\|/errors.Is(err, httpconn.ErrHeadTooLong) && false ||/' pkg/upstream TestAnswerWithoutEndIsTooLong
try own-door-too-long-is-no-crash pkg/entry/crash.go 's/ \|\|\n\t\terrors\.Is\(err, upstream\.ErrTooLong\)//' pkg/entry TestAnswerWithoutEndIsNoEndedConnection
try store-answers-are-never-cut platform/store.go 's/len\(answer\) > maxAnswerBytes/false/' platform TestEndlessAnswerIsAnError
try copies-are-never-cut pkg/follow/pack.go 's/len\(encoded\) > maxUnpackedBytes/false/' pkg/follow TestCopyAboveTheLimitIsAnError
try silent-connection-is-kept pkg/entry/delivery.go 's/d\.cancelReplacement\(\)\n\t\td\.replacement = d\.resume/d.current.cancel()\n\t\td.replacement = d.resume/' pkg/entry TestSilentEngineGoesOnThoughItRefusesResumes
try silence-has-a-least-bound pkg/entry/delivery.go 's/minSilenceBound = 5 \* time\.Second/minSilenceBound = 0/' pkg/entry TestSilentEngineGoesOnWithoutRetries
try silence-has-a-bound pkg/entry/delivery.go 's/if remaining <= 0 \{/if false {/' pkg/entry TestStreamOfASilentEngineEnds
try another-engine-beside-a-silent-one pkg/entry/chat_attempts.go 's/c\.numRunning == 1 &&/false \&\&/' pkg/entry TestSilentEngineIsReplacedBeforeItIsGivenUp
try connections-in-set-up-are-cut pkg/standin/relay/relay.go 's/if !r\.join\(l, target\) \{/if !r.join(l, target) \&\& false {/' pkg/standin/relay TestConnectionInSetUpIsCut
try sent-once-is-sent pkg/entry/chat.go 's/if !sent \{/if true {/' pkg/entry TestBrokenStreamOfAnUnreachableEngineIsBilled
try one-attempt-answers pkg/entry/chat_attempts.go 's/if c\.chosen != nil \|\| a\.isCanceled \{/if c.chosen != nil {/' pkg/entry TestOnlyOneAttemptAnswers
try repeated-tokens-are-dropped pkg/entry/delivery.go 's/return event\.Offset > 0 && event\.Offset <= d\.offset/return false/' pkg/entry TestDrawnSilencesEndNoAnswer
try declined-attempts-return-tokens pkg/entry/attempt.go 's/\ta\.call\.billing\.settle\(&a\.reservation, 0\)\n//' pkg/entry TestDeclinedAttemptGivesBackWhatItHolds
try declined-attempts-return-retries pkg/entry/attempt.go 's/\tif a\.isRetry \{\n\t\ta\.call\.e\.retries\.restore\(\)\n\t\}\n//' pkg/entry TestDeclinedAttemptGivesBackWhatItHolds
try body-to-close-has-a-bound pkg/httpcall/httpcall.go 's/body = io\.LimitReader\(body, int64\(maxBytes\)\+1\)//' pkg/httpcall TestEndlessResponsesAreClosed
try event-has-a-bound pkg/upstream/stream.go 's/if b\.remaining <= 0 \{/if false {/' pkg/upstream TestEndlessEventsAreClosed
try plain-events-have-a-bound pkg/upstream/upstream.go 's/Limit: maxAnswerBytes, /Limit: 1 << 40, /; s/Take: memory\.Resize/Take: func(int) error { return nil }/' pkg/upstream TestEndlessEventsOfPlainServicesAreClosed
try answer-text-has-a-bound pkg/entry/delivery.go 's/d\.textBytes > maxAnswerTextBytes/false/' pkg/entry TestEndlessTextIsClosed
try watched-requests-wait pkg/entry/incarnation.go 's/runQueryTimeout = 3 \* time\.Second/runQueryTimeout = incarnationTimeout/' pkg/entry TestWatchedRequestWaitsForASilentEngine
try leaving-upstream-takes-no-retry pkg/entry/crash.go 's/if !errors\.Is\(err, errNotInService\) \{/if true {/' pkg/entry TestRequestOfALeavingUpstreamGoesElsewhere
try canceled-is-no-success pkg/dispatch/picker.go 's/\tcase r\.Canceled:\n//' pkg/dispatch TestCanceledRequestsTellNothingAboutAnUpstream
try plain-answers-may-be-long pkg/httpconn/silence.go 's/if wait, err = s\.watch\.OnSilence\(\); err != nil \{/if true {/' test TestLongPlainRequestsAreAnswered
try silence-beside-changes-ends-nothing pkg/httpconn/silence.go 's/if wait, err = s\.watch\.OnSilence\(\); err != nil \{/if true {/' test TestChangesBesideASilenceEndNoRequest
try hedges-bring-something-new pkg/forward/attempt.go 's/case dropDelivered\(a\.events\.complete\(\), a\.resumeAfter\)\.hasData\(\):/case true:/' pkg/forward TestSilentUpstreamIsGivenUpOnlyForSomethingNew
try slow-bytes-are-no-answer pkg/forward/attempt.go 's/if a\.events == nil \{\n\t\twatch\.CheckBy/if false {\n\t\twatch.CheckBy/' pkg/forward TestSlowBytesAreNoAnswer
try hedges-own-their-bodies pkg/forward/hedge.go 's/h\.body = slices\.Clone\(body\)/h.body = body/' pkg/forward TestHedgeSendsItsOwnCopyOfTheBody
try unreached-hedges-leave-upstreams pkg/forward/hedge.go 's/\tc\.tried = slices\.DeleteFunc\(c\.tried, func[^\n]*\n//' pkg/forward TestUnreachedHedgeLeavesItsUpstreamToTheRequest
try retries-after-unsent-hedges-count pkg/forward/attempt.go 's/case hedgeFailed\.sentSomething\(\):/case true:/' pkg/forward TestRetryAfterAnUnsentHedgeIsCounted
try abandoned-unsent-hedges-are-uncounted pkg/forward/hedge.go 's/if p\.attempt\.gate\.close\(\) \{/if p.attempt.gate.close() \&\& false {/' pkg/forward TestAbandonedUnsentHedgeIsNoAttempt
try watched-requests-get-no-hedge pkg/forward/hedge.go 's/newAttempt\(c\.beginRunBeside\)/newAttempt(c.beginRun)/' pkg/forward TestWatchedRequestGetsNoAttemptBesideASilentOne
try endings-elsewhere-forbid-hedges pkg/quarantine/table.go 's/\tcase e\.isWatched\(\):/\tcase e.StateAt(t.self) != Clear:/' pkg/forward TestEndingElsewhereKeepsARequestAtItsSilentUpstream
try watched-requests-get-no-run-beside pkg/quarantine/table.go 's/\tcase e\.isWatched\(\):/\tcase e.isWatched() \&\& e.mustWait(now):/' pkg/quarantine TestWatchedRequestGetsNoRunBesideAnother
try own-door-runs-nothing-watched-beside pkg/entry/chat_attempts.go 's/a\.isBeside = true, c\.numRunning > 0/a.isBeside = true, false/' pkg/entry TestWatchedRequestIsNotRunBesideASilentEngine
try runs-are-confirmed-before-sending pkg/forward/attempt.go 's/return a\.confirmRun\(\)/return nil/' pkg/forward TestRequestThatBecameSuspectedIsNotSent
try hedges-are-confirmed-before-sending pkg/forward/attempt.go 's/return a\.confirmRun\(\)/return nil/' pkg/forward TestHedgeIsNotSentAfterAnEnding
try condemned-meanwhile-is-not-sent pkg/quarantine/table.go 's/\tcase !r\.table\.watchesParts\(\):/\tcase true:/' pkg/quarantine TestRunIsConfirmedBeforeItIsSent
try runs-beside-others-stay-beside pkg/quarantine/table.go 's/\tcase r\.beside:/\tcase false:/' pkg/quarantine TestRunBesideAnotherIsConfirmedBeforeItIsSent
try odd-entries-are-walked-over platform/store.go 's/ok && err != nil/ok \&\& false/' test TestOddEntriesDoNotStopTheFollowing
try pages-of-odd-entries-go-on platform/store.go 's/err = wire\.walk\(item\)/_ = item/' platform TestManyOddEntriesHideNoOthers
try expired-copies-are-not-acted-upon pkg/forward/attempt.go 's/if err := a\.c\.f\.Validity\.Check\(\); err != nil/if err := a.c.f.Validity.Check(); false/' pkg/forward TestNothingIsSentOnOutdatedState
try old-lists-of-upstreams-are-not-used pkg/follow/validity.go 's/return &ExpiredError\{Copy: name, Age: age, Limit: limit\}/return nil/' test TestSlowWayToTheStoreSendsNothingToUpstreamsThatLeft
try agreement-keeps-copies-in-use pkg/follow/validity.go 's/ \|\| v\.nobodyKnowsMore\(name\)//' pkg/follow TestCopiesAreActedUponWhileTheyAreValid
try isolation-keeps-copies-in-use pkg/follow/validity.go 's/ \|\| v\.hearing\.Isolated\(\)//' test TestIsolatedInstanceServesItsClients
try late-answers-are-delivered platform/lateanswer.go 's/if r := <-results; r\.err == nil \{/if r := <-results; false {\n\t\t\t_ = r/' platform TestAnswersThatComeLateAreDelivered
try departed-clients-are-noticed pkg/httpserve/departure.go 's/ended := c\.broken \|\| c\.closed/ended := false/; s/return ok && peerClosed\(socket\)/return ok && false \&\& peerClosed(socket)/' test TestRequestsOfDepartedClientsAreNotBegun
try own-door-notices-departed-clients pkg/httpserve/departure.go 's/ended := c\.broken \|\| c\.closed/ended := false/; s/return ok && peerClosed\(socket\)/return ok && false \&\& peerClosed(socket)/' test TestOwnDoorDoesNotBeginRequestsOfDepartedClients
try departures-are-watched pkg/httpserve/httpserve.go 's/go s\.watchDepartures\(\)/_ = s/' test TestWorkEndsForDepartedClientsWithUnreadBytes
try departures-are-checked-before-sending pkg/forward/attempt.go 's/if isGone\(a\.c\.client\) \{/if false {/' pkg/forward TestClientThatLeavesBeforeTheSendingGetsNoWork
try gone-clients-get-no-answer pkg/forward/call.go 's/\t\}\)\n\tc\.client\.Abort\(\)\n/\t})\n/' pkg/forward TestClientThatLeavesGetsNoAnswer
try hangups-are-ignored-before-main pkg/hangup/ignore.c 's/\(void\)signal/\/\/ (void)signal/' test TestHangupBeforeMainEndsNoInstance
try hangups-are-ignored-at-any-time pkg/hangup/ignore.c 's/\(void\)signal/\/\/ (void)signal/' test TestHangupAtAnyTimeOfAStartEndsNoInstance
try hangups-end-other-commands pkg/hangup/ignore.c 's/if \(runs_instance\(argc, argv\)\)/if (argc > 0)/' test TestHangupEndsOtherCommands
try hangups-are-received pkg/hangup/hangup.go 's/signal\.Notify\(received, syscall\.SIGHUP\)/signal.Notify(received, syscall.SIGUSR1)/' test TestHangupHasTheSettingsReadAgain
try established-connections-are-taken pkg/reach/connector.go 's/return a\.takeEstablished\(\)/return Connection{}, a.ctx.Err()/' pkg/reach TestConnectionEstablishedInTimeIsTaken
try no-connection-for-what-is-over pkg/reach/connector.go 's/ \|\| a\.isLate\(\) \{/ \&\& !a.isLate() \&\& false {/' pkg/reach TestConnectionIsNotTakenForARequestThatIsOver
try silent-hedge-is-not-the-last pkg/forward/hedge.go 's/if !c\.mayHedge\(ended\) \{/if true {/' pkg/forward TestSilentHedgeIsNotTheLastAttempt
try full-connections-are-waited-for pkg/forward/unreached.go 's/case !failed\.sentSomething\(\):/case failed.step == stepDial \&\& !failed.neutral:/' pkg/forward TestBegunStreamOutlastsTheLimitOfConnections
try cold-limit-is-waited-for pkg/forward/unreached.go 's/\(len\(c\.unreached\) > 0 \|\| failure\.limited\)/len(c.unreached) > 0/' pkg/forward TestBegunStreamOutlastsTheLimitOfColdUpstreams
try waits-end-with-avoidance pkg/dispatch/picker.go 's/time\.AfterFunc\(avoidInterval, p\.grantLeasesNow\)/_ = p.grantLeasesNow/' pkg/dispatch TestWaitEndsWhenAnUpstreamIsNoLongerAvoided
try rest-is-asked-for-again pkg/entry/delivery.go 's/return unanswered && d\.numResumes > 0/return unanswered \&\& false/' pkg/entry TestRestIsAskedForAgainAfterAFailedTry
try resumed-clients-get-no-event-twice pkg/forward/stream.go 's/dropDelivered\(events, c\.resumeAfter\(\)\)/dropDelivered(events, c.lastEventID)/' pkg/forward TestResumedClientGetsNoEventTwice
try hedges-share-a-copy pkg/forward/hedge.go 's/if h\.body == nil \{/if true {/' pkg/forward TestHedgesShareOneCopyOfTheBody
# Parts of prompts that crash upstreams.
try parts-are-judged $q/partjudge.go 's/t\.policy\.Parts == IgnoreParts/true/' test TestPartOfPromptsThatCrashesEnginesIsRefused
try own-door-names-parts pkg/entry/chat.go 's/messageHashes\(c\.req\.Messages\)\)/nil)/' test TestOwnDoorRefusesMessageThatCrashesEngines
try parts-explain-crashes $q/partjudge.go 's/if len\(explaining\) > 1 \|\| \(len\(explaining\) == 1 && explaining\[0\] != p\) \{/if len(explaining) > 9 {/' $q TestPartThatACondemnedOneExplainsIsNotCondemned
try answers-before-count $q/partjudge.go 's/answered\[p\] = true/unanswered[p] = false/' $q TestPartsThatWereAnsweredBeforeAreNotSuspected
try services-answer-others $q/partjudge.go 's/ && t\.servesOthers\(p, y\)//' $q TestNoPartIsCondemnedWhileNothingIsAnswered
try verdicts-name-the-account $q/partjudge.go 's/if len\(y\.accounts\) != 1 \{/if true {/' $q TestPartIsCondemnedForTheAccountThatSentIt
try one-request-condemns-no-part $q/partjudge.go 's/ && len\(y\.requests\) >= minRequests//' $q TestRepeatedRequestDoesNotCondemnItsParts
try sustained-answers-are-no-suspects $q/undecided.go 's/if !r\.provenAt\.IsZero\(\) \{/if false {/' $q TestSustainedAnswersAreNotSuspected
try first-event-proves-nothing $q/partrun.go 's/\t\tr\.answeringSince = now\n/\t\tr.answeringSince = now\n\t\tr.prove(now)\n/' $q TestPartThatCrashesAfterTheFirstEventIsCondemned
try sustained-answers-go-on-proving $q/partrun.go 's/ && now\.Sub\(r\.provenAt\) >= proofInterval/ \&\& r.provenAt.IsZero()/' $q TestCrashesUnderLongStreamsCondemnNoPart
try answers-lift-verdicts $q/partrun.go 's/if e\.isWatched\(\) \{/if false {/' $q TestAnswerLiftsTheVerdictOnAPart
try released-parts-stay-released $q/partrun.go 's/if t\.needsRefutation\(p, now\) \{/if false {/' $q TestReleasedPartStaysReleased
try explained-requests-are-cleared $q/partjudge.go 's/\tt\.clearExplained\(\)\n//' $q TestRequestsBesideACondemnedPartAreCleared
try suspected-parts-run-alone $q/partrun.go 's/if !t\.policy\.PartTrials \{/if true {/' $q TestSuspectedPartRunsOnceAtATime
try moments-count-once $q/partjudge.go 's/if moment != y\.lastMoment \{/if true {/' $q TestCrashesAtOneMomentCondemnNoPart
try part-records-name-their-part $q/wire.go 's/case m\.Part != nil && !isPartRecord\(m\):/case false:/' $q TestPartRecordWithAnotherFingerprintIsRejected
try one-report-is-not-trusted $q/table.go 's/ && t\.answered\.last\(\*e\.Part\)\.IsZero\(\)//' $q TestOneReportDoesNotCondemnAnAnsweredPart
try suspects-are-bounded $q/prompt.go 's/s\.Unanswered\[:min\(len\(s\.Unanswered\), maxSuspects\)\]/s.Unanswered/; s/maxSuspects-len\(s\.Unanswered\)/max(maxSuspects-len(s.Unanswered), 0)/' $q TestSuspectsOfAPromptAreBounded
try part-crashes-are-bounded $q/upstreamcrash.go 's/if len\(t\.parts\.crashes\) >= maxUpstreamCrashes \{/if false {/' $q TestUpstreamCrashesAreBounded
try parts-are-stored $q/wire.go 's/if r\.Part != nil \{/if false {/' $q/keeper TestStoredVerdictsContainParts
try part-trials-are-confirmed $q/table.go 's/return r, r\.confirmTrial\(now\)/return r, nil/' $q TestTrialOfAPartCondemnedMeanwhileIsNotSent
try versions-of-lost-streams-are-not-guessed pkg/forward/origin.go 's/if err == nil && !c\.route\.LeadsTo\(began\.Service\) \{/if err != nil \&\& c.r.Resumes != "" { return origin.Origin{Service: c.route.SelectService(c.r.ID), Version: "v2"}, nil }\n\tif err == nil \&\& !c.route.LeadsTo(began.Service) {/' test TestLossesOfAllJoinNoVersions
try streams-without-events-are-no-answers pkg/forward/stream.go 's/ && a\.endsWithConnection\(\) && !a\.events\.hadData:/ \&\& false:/' test TestPartOfPromptsThatCrashesEnginesIsRefused
# Clients that do not behave.
try requests-take-memory pkg/httpserve/reader.go 's/return r\.hold\.TryResize\(counted\)/return nil/' test TestCrowdLeavesTheInstanceAlone
try full-memory-refuses pkg/httpserve/reader.go 's/return r\.hold\.TryResize\(counted\)/return nil/' pkg/httpserve TestFullMemoryRefusesAtOnce
try request-buffers-are-bounded pkg/httpserve/reader.go 's/len\(r\.buffer\) > most/len(r.buffer) > most<<20/' pkg/httpserve TestFramingTakesNoMemory
try request-heads-are-bounded pkg/httpserve/reader.go 's/r\.Len\(\) > limits\.HeadBytes/r.Len() > limits.HeadBytes<<20/; s/len\(r\.buffer\) > most/len(r.buffer) > most<<20/' pkg/httpserve TestFramingTakesNoMemory
try request-memory-is-returned pkg/httpserve/reader.go 's/\tr\.hold\.Reset\(\)\n//' pkg/httpserve TestIdleConnectionsKeepNoMemory
try bodies-have-a-limit pkg/buffermem/read.go 's/case len\(data\) > m\.Limit:/case false:/' pkg/httpserve TestRequestsOverTheLimitsAreRefused
try stalled-requests-make-room pkg/buffermem/buffermem.go 's/stalled != nil \{/false {/' pkg/httpserve TestStalledRequestMakesRoom
try given-up-requests-are-told pkg/httpserve/conn.go 's/\tc\.interrupted = true\n\t_ = c\.Conn\.SetReadDeadline\(pastTime\)\n//' pkg/httpserve TestStalledRequestMakesRoom
try heads-have-their-time pkg/httpserve/reader.go 's/Add\(limits\.HeadTimeout\)/Add(time.Hour)/' pkg/httpserve TestHeadsAndIdleConnectionsEndInTheirTime
try idle-time-is-the-configurations pkg/httpserve/reader.go 's/Add\(r\.conn\.server\.limits\(\)\.IdleTimeout\)/Add(time.Hour)/' pkg/httpserve TestHeadsAndIdleConnectionsEndInTheirTime
try connections-are-bounded pkg/httpserve/connset.go 's/len\(s\.open\) <= s\.most/true/' test TestCrowdLeavesDescriptors
try longest-waiting-makes-room pkg/httpserve/connset.go 's/s\.waiting\.Front\(\)/s.waiting.Back()/' pkg/httpserve TestConnectionThatWaitsLongestMakesRoom
try begun-requests-keep-connections pkg/httpserve/conn.go 's/if serving \{\n\t\treturn false/if false {\n\t\treturn false/' pkg/httpserve TestConnectionIsClosedOrItsRequestBegun
try requests-in-progress-stay pkg/httpserve/conn.go 's/\tc\.server\.conns\.noteServing\(c\)\n//' pkg/httpserve TestRequestsInProgressKeepTheirConnections
try own-door-answers-take-memory pkg/upstream/upstream.go 's/Take: memory\.Resize/Take: func(int) error { return nil }/' test TestCrowdThatReadsNoAnswersLeavesTheInstanceAlone
try resets-are-no-ends pkg/httpconn/silence.go 's/if err == io\.EOF \{/if err == io.EOF && p == nil {/' pkg/httpconn TestAnswerThatIsResetBesideALongRequestIsNotWhole
try only-statuses-of-http pkg/httpconn/answer.go 's/status < http\.StatusContinue \|\| status > lastStatus/false/' pkg/forward TestWhatIsNoAnswerIsNeverDelivered
try only-names-of-http pkg/httpconn/answer.go 's/!isNameByte\(name\[i\]\)/!isNameByte(name[i]) \&\& name == ""/' pkg/forward TestWhatIsNoAnswerIsNeverDelivered
try own-door-takes-answers-only pkg/httpconn/answer.go 's/status < http\.StatusContinue \|\| status > lastStatus/false/' pkg/httpcall TestOnlyAnswersAreTaken

exit $status
