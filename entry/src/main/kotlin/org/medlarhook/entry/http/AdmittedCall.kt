package org.medlarhook.entry.http

import org.medlarhook.core.directory.Workspace
import org.medlarhook.entry.claim.ClaimKey

/** A service call that may run. */
internal class AdmittedCall(
    val path: SafePath,
    val called: CalledRoute,
    val workspace: Workspace?,
    val claimKey: ClaimKey?,
)
