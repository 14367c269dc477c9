package org.medlarhook.serving.second

import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.second.NotSentReason
import org.medlarhook.core.serving.second.SecondAttemptDecision
import org.medlarhook.core.serving.second.SecondAttemptPolicy
import org.medlarhook.serving.call.Attempt
import org.medlarhook.serving.call.ExchangeRecord
import org.medlarhook.serving.call.Outcome
import org.medlarhook.serving.call.ServingLoop
import java.util.concurrent.Future

/**
 * Lets a second attempt of one request run beside the first. Used on the event loop only.
 *
 * The exchange has one leading attempt, whose failures and retries it handles. The second one runs aside until it
 * delivers, or until the leading one fails or is given up; then it leads, and nothing runs aside any more. Each has its
 * own relay, and the one that delivers first abandons the other before any other event of the loop.
 */
internal class AttemptRace(
    private val serving: ServingLoop,
    private val exchange: RacingExchange,
    private val record: ExchangeRecord,
) {
    private val seconds = serving.secondAttempts
    private var first: Attempt? = null
    private var aside: Attempt? = null
    private var second: Attempt? = null
    private var timer: Future<*>? = null
    private var isLimited = false

    /** Records that [attempt] was sent. Watches the first one of a request that may have two. */
    fun sent(attempt: Attempt, demand: Demand) {
        if (!seconds.isOn) return
        val nowMs = serving.nowMs()
        if (attempt === aside) {
            schedule(nowMs + SecondAttemptPolicy.MAX_OVERLAP_MS) { endOverlap(demand) }
        } else if (first == null && exchange.mayHaveSecond(attempt)) {
            first = attempt
            seconds.lateAtMs(seconds.lateRequest(demand, attempt))?.let { lateAtMs ->
                schedule(lateAtMs) { decide(demand) }
            }
        }
    }

    private fun schedule(atMs: Long, task: () -> Unit) {
        timer?.cancel(false)
        timer = serving.schedule(atMs, task)
    }

    private fun decide(demand: Demand) {
        val current = first?.takeIf { exchange.isWaitingFor(it) } ?: return
        val nowMs = serving.nowMs()
        val alternative = exchange.placeSecond(nowMs)
            ?: return seconds.notSent(demand, NotSentReason.NOT_ALLOWED, nowMs)
        when (val decision = seconds.decide(seconds.lateRequest(demand, current), demand, alternative, nowMs)) {
            is SecondAttemptDecision.Wait -> schedule(decision.untilMs) { decide(demand) }
            is SecondAttemptDecision.Never -> seconds.notSent(demand, decision.reason, nowMs)
            is SecondAttemptDecision.Send -> send(demand, current, alternative as Placement.Chosen, nowMs)
        }
    }

    private fun send(demand: Demand, current: Attempt, chosen: Placement.Chosen, nowMs: Long) {
        if (!exchange.hasReserve(nowMs)) return seconds.notSent(demand, NotSentReason.BUDGET, nowMs)
        if (!seconds.withdraw(demand, chosen, nowMs)) return awaitShare(demand, nowMs)
        val next = exchange.newSecond(chosen, nowMs) ?: return seconds.notSent(demand, NotSentReason.BUDGET, nowMs)
        val upstream = current.dispatch.chosen.upstream
        seconds.log.sent(exchange.attemptId, upstream, chosen.upstream, nowMs - current.dispatch.atMs)
        second = next
        aside = next
        exchange.transmit(next, nowMs)
    }

    /** Decides again when others have taken less of the share; the request is among the slowest by then. */
    private fun awaitShare(demand: Demand, nowMs: Long) {
        if (!isLimited) seconds.notSent(demand, NotSentReason.SHARE, nowMs)
        isLimited = true
        schedule(nowMs + SHARE_RECHECK_MS) { decide(demand) }
    }

    /** Gives up the attempt that is expected to answer later, so that only one upstream works on the request. */
    private fun endOverlap(demand: Demand) {
        val leading = first ?: return
        val running = aside ?: return
        val nowMs = serving.nowMs()
        val isFirstLater =
            if (leading.isAnswering == running.isAnswering) {
                seconds.isFirstLater(seconds.lateRequest(demand, leading), running.dispatch.atMs, nowMs)
            } else {
                running.isAnswering
            }
        if (isFirstLater) {
            giveUpFirst(leading, running)
        } else {
            aside = null
            running.giveUp(isOutrun = false)
        }
    }

    private fun giveUpFirst(leading: Attempt, next: Attempt) {
        aside = null
        leading.giveUp(isOutrun = true)
        exchange.lead(next)
    }

    /**
     * Records that [attempt] has ended without an answer for the caller. Returns true if the other attempt goes on, so
     * that nothing else is to be done.
     */
    fun goesOnWithout(attempt: Attempt): Boolean {
        val running = aside ?: return false
        aside = null
        timer?.cancel(false)
        if (attempt === running) attempt.relay.release() else exchange.lead(running)
        return true
    }

    /** Records that the answer of [attempt] reaches the caller, and abandons the other attempt. */
    fun delivers(attempt: Attempt) {
        val running = aside
        if (running == null) {
            timer?.cancel(false)
        } else if (attempt === running) {
            first?.let { giveUpFirst(it, running) }
        } else {
            aside = null
            running.giveUp(isOutrun = false)
        }
    }

    /** Ends what runs aside with the exchange, whose [answering] attempt has led to [outcome]. */
    fun end(outcome: Outcome, answering: Attempt?) {
        timer?.cancel(false)
        aside?.giveUp(isOutrun = false)
        aside = null
        if (second == null) return
        val raceOutcome =
            when {
                outcome !is Outcome.Answered -> RaceOutcome.NOT_ANSWERED
                answering === first -> RaceOutcome.WON_BY_FIRST
                answering === second -> RaceOutcome.WON_BY_SECOND
                else -> RaceOutcome.NOT_ANSWERED
            }
        record.second = raceOutcome
        seconds.log.ended(raceOutcome)
    }

    private companion object {
        /** A few times the usual delay of a second attempt. */
        const val SHARE_RECHECK_MS = 100L
    }
}
