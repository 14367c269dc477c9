package org.medlarhook.core.claim

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/**
 * Where a call of a plain service stands.
 *
 * @property attempts attempts chosen so far.
 * @property examinations how often the row was held by another request.
 * @property mayHaveRun false only while no attempt of this request can have run.
 */
public data class OnceState(
    val request: OnceRequest,
    val phase: OncePhase,
    val attempts: Int = 0,
    val examinations: Int = 0,
    val mayHaveRun: Boolean = false,
    val excludedUpstreams: PersistentSet<String> = persistentSetOf(),
    val lastFailure: Failure? = null,
)

/** The phases of a call of a plain service. */
public sealed interface OncePhase {
    /** An upstream is being chosen; [rowVersion] is the version of the row that may be replaced. */
    public data class Choosing(
        val rowVersion: Long,
    ) : OncePhase

    /** The claim is being written; nothing is sent before that. */
    public data class Claiming(
        val claim: Claim,
    ) : OncePhase

    /** The row is being read; [pending] is a claim of this request whose write has an unknown outcome. */
    public data class Reading(
        val pending: Claim?,
        val ifAbsent: Failure,
    ) : OncePhase

    /** The sidecar of another request's attempt is being asked. */
    public data class Asking(
        val row: ClaimRow,
    ) : OncePhase

    /** The attempt is on its way. */
    public data class Sending(
        val attempt: AttemptRef,
        val rowVersion: Long,
    ) : OncePhase

    /** The outcome of the attempt is being asked of its sidecar. */
    public data class Settling(
        val attempt: AttemptRef,
        val rowVersion: Long,
        val askedAtMs: Long,
        val isAsking: Boolean,
        val failures: Int = 0,
    ) : OncePhase

    /** The answer is being recorded. */
    public data class Recording(
        val claim: Claim,
        val answer: CallAnswer,
        val isReplay: Boolean,
    ) : OncePhase

    /** The claim is being given back. */
    public data class Releasing(
        val claim: Claim,
        val failure: Failure,
    ) : OncePhase

    /** The caller has its last word. */
    public data object Ended : OncePhase
}

/** The next state and what is to be done, in order. */
public data class OnceStep(
    val state: OnceState,
    val actions: List<OnceAction> = emptyList(),
)
