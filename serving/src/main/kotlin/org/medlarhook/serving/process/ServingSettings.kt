package org.medlarhook.serving.process

import kotlinx.collections.immutable.ImmutableMap
import org.medlarhook.core.serving.fair.FairAdmissionMode
import org.medlarhook.core.serving.fleet.Endpoint
import org.medlarhook.core.serving.place.AffinityPlacer
import org.medlarhook.core.serving.place.Distances
import org.medlarhook.core.serving.place.FirstEventPredictor
import org.medlarhook.core.serving.place.Placer

/**
 * Settings of a serving process.
 *
 * @property process identifies one start of this process.
 * @property callers the address on which callers connect.
 * @property status the address on which readiness, metrics and the state dump are served.
 * @property peer the address on which other serving processes reach this one, or null if they don't.
 * @property metricsPort a second port for [status], which stays the same when the platform changes the first, or null.
 * @property fairAdmission at which services admission is fair by workspace.
 * @property readinessPath the path of the readiness check.
 * @property secondAttemptShare the share of a service's work that second attempts may add, or 0 for none.
 */
public data class ServingSettings(
    val process: String,
    val dataCentre: String,
    val regionByDataCentre: ImmutableMap<String, String>,
    val callers: Endpoint,
    val status: Endpoint,
    val readinessPath: String,
    val bounds: ServingBounds,
    val peer: Endpoint? = null,
    val metricsPort: Int? = null,
    val secondAttemptShare: Double = 0.0,
    val fairAdmission: FairAdmissionMode = FairAdmissionMode.AUTO,
) {
    /** Creates the placer for the data centre of this process. */
    internal fun placer(): Placer = AffinityPlacer(FirstEventPredictor(Distances(dataCentre, regionByDataCentre)))
}
