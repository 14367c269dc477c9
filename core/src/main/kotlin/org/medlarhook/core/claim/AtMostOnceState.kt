package org.medlarhook.core.claim

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/**
 * The state of a call of a plain service in its [AtMostOnceMachine].
 *
 * @property attempts number of attempts for which an upstream was chosen so far.
 * @property claimConflicts how often the claim row was found to be held by another request.
 * @property mayHaveRun true if an attempt of this request may have run, apart from one whose outcome is still open.
 */
public data class AtMostOnceState(
    val call: AtMostOnceRequest,
    val phase: AtMostOncePhase,
    val attempts: Int = 0,
    val claimConflicts: Int = 0,
    val mayHaveRun: Boolean = false,
    val excludedUpstreams: PersistentSet<String> = persistentSetOf(),
    val lastFailure: Failure? = null,
)

/** The phases of a call of a plain service. */
public sealed interface AtMostOncePhase {
    /** An upstream is being chosen; [rowVersion] is the version of the claim row that the new claim may replace. */
    public data class Choosing(
        val rowVersion: Long,
    ) : AtMostOncePhase

    /** The claim is being written; the attempt is sent only after that. */
    public data class Claiming(
        val claim: Claim,
    ) : AtMostOncePhase

    /**
     * The claim row is being read. [unconfirmed] is a claim of this request if the outcome of its write is unknown.
     * [failureIfAbsent] ends the call if there is no row or it can't be read.
     */
    public data class Reading(
        val unconfirmed: Claim?,
        val failureIfAbsent: Failure,
    ) : AtMostOncePhase

    /** The sidecar of the attempt in the claim row of another request is being asked to seal it. */
    public data class Asking(
        val row: ClaimRow,
    ) : AtMostOncePhase

    /** The attempt was sent and has not ended. */
    public data class Sending(
        val attempt: AttemptRef,
        val rowVersion: Long,
    ) : AtMostOncePhase

    /** The answer is lost or late: the sidecar of the attempt is being asked to seal it, at intervals while it runs. */
    public data class Settling(
        val attempt: AttemptRef,
        val rowVersion: Long,
        val askedAtMs: Long,
        val isAsking: Boolean,
        val failures: Int = 0,
    ) : AtMostOncePhase

    /** The answer is being recorded in the claim row. */
    public data class Recording(
        val claim: Claim,
        val answer: CallAnswer,
        val isReplay: Boolean,
    ) : AtMostOncePhase

    /** The claim is being released, as its attempt has not run; then the caller gets [cause]. */
    public data class Releasing(
        val claim: Claim,
        val cause: Failure,
    ) : AtMostOncePhase

    /** The final answer was given to the caller. */
    public data object Ended : AtMostOncePhase
}

/** The next state, and the actions to carry out, in order. */
public data class AtMostOnceStep(
    val state: AtMostOnceState,
    val actions: List<AtMostOnceAction> = emptyList(),
)
