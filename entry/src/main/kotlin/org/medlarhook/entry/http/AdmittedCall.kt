package org.medlarhook.entry.http

import org.medlarhook.core.directory.Workspace
import org.medlarhook.entry.claim.ClaimKey

/**
 * A call of a plain service that passed the checks made before its body is read.
 *
 * @property workspace the caller's workspace, or null on an open route.
 * @property claimKey the key of the idempotency claim, or null if the call needs none.
 */
internal class AdmittedCall(
    val path: SafePath,
    val matched: MatchedRoute,
    val workspace: Workspace?,
    val claimKey: ClaimKey?,
)
