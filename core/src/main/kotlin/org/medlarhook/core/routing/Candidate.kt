package org.medlarhook.core.routing

import org.medlarhook.core.role.UpstreamRole

/**
 * An upstream that an entry may choose, with what the entry knows about it.
 *
 * @property accepting false while the upstream drains or its engine does not answer.
 * @property served the models and services that the upstream has loaded.
 * @property load estimated load of the upstream.
 * @property link network path from the entry to the upstream.
 * @property health whether the upstream is ejected or in slow start.
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
