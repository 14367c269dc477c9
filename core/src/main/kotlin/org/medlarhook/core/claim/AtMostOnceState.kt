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
public data class AtMostOnceState(
    val request: AtMostOnceRequest,
    val phase: AtMostOncePhase,
    val attempts: Int = 0,
    val examinations: Int = 0,
    val mayHaveRun: Boolean = false,
    val excludedUpstreams: PersistentSet<String> = persistentSetOf(),
    val lastFailure: Failure? = null,
)

/** The phases of a call of a plain service. */
public sealed interface AtMostOncePhase {
    /** An upstream is being chosen; [rowVersion] is the version of the row that may be replaced. */
    public data class Choosing(
        val rowVersion: Long,
    ) : AtMostOncePhase

    /** The claim is being written; nothing is sent before that. */
    public data class Claiming(
        val claim: Claim,
    ) : AtMostOncePhase

    /** The row is being read; [pending] is a claim of this request whose write has an unknown outcome. */
    public data class Reading(
        val pending: Claim?,
        val ifAbsent: Failure,
    ) : AtMostOncePhase

    /** The sidecar of another request's attempt is being asked. */
    public data class Asking(
        val row: ClaimRow,
    ) : AtMostOncePhase

    /** The attempt is on its way. */
    public data class Sending(
        val attempt: AttemptRef,
        val rowVersion: Long,
    ) : AtMostOncePhase

    /** The outcome of the attempt is being asked of its sidecar. */
    public data class Settling(
        val attempt: AttemptRef,
        val rowVersion: Long,
        val askedAtMs: Long,
        val isAsking: Boolean,
        val failures: Int = 0,
    ) : AtMostOncePhase

    /** The answer is being recorded. */
    public data class Recording(
        val claim: Claim,
        val answer: CallAnswer,
        val isReplay: Boolean,
    ) : AtMostOncePhase

    /** The claim is being given back. */
    public data class Releasing(
        val claim: Claim,
        val failure: Failure,
    ) : AtMostOncePhase

    /** The caller has its last word. */
    public data object Ended : AtMostOncePhase
}

/** The next state and what is to be done, in order. */
public data class AtMostOnceStep(
    val state: AtMostOnceState,
    val actions: List<AtMostOnceAction> = emptyList(),
)
