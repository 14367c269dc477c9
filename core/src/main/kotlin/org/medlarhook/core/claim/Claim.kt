package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer

/**
 * What stands in the row of an idempotency key.
 *
 * @property digestHex digest over method, path and body of the request.
 * @property attempt the only attempt that may run under the key.
 * @property answer the recorded answer of a finished attempt.
 */
public data class Claim(
    val digestHex: String,
    val attempt: AttemptRef,
    val state: ClaimState,
    val answer: CallAnswer? = null,
)
