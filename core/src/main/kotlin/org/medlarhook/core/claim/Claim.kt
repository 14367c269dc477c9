package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer

/**
 * The content of the claim row of an idempotency key.
 *
 * @property digestHex digest of method, path and body of the request, in hexadecimal.
 * @property attempt the only attempt that may run under the key.
 * @property answer the recorded answer of the finished attempt, or null.
 */
public data class Claim(
    val digestHex: String,
    val attempt: AttemptRef,
    val state: ClaimState,
    val answer: CallAnswer? = null,
)
