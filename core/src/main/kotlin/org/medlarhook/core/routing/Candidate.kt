package org.medlarhook.core.routing

import org.medlarhook.core.role.UpstreamRole

/**
 * An upstream that an entry may choose, as seen by that entry.
 *
 * @property accepting false while it drains or its engine does not answer.
 * @property served what it has loaded.
 */
public data class Candidate(
    val upstreamId: String,
    val dataCentre: String,
    val region: String,
    val role: UpstreamRole = UpstreamRole.MIXED,
    val accepting: Boolean = true,
    val served: Set<ModelRef>,
    val load: LoadEstimate,
    val link: Link,
    val health: UpstreamHealth = UpstreamHealth.GOOD,
)
