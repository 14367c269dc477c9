package org.medlarhook.sidecar.status

import org.medlarhook.core.attempt.SchedulerLoad
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.protocol.LoadedModel
import org.medlarhook.protocol.UpstreamRole
import org.medlarhook.protocol.UpstreamStatus
import org.medlarhook.runtime.settings.SidecarSettings
import org.medlarhook.sidecar.rpc.toMessage

/** The state of the upstream as reported to entries. Each field is written by one thread and read by any. */
internal class UpstreamState(
    private val settings: SidecarSettings,
    private val load: () -> SchedulerLoad?,
) {
    /** The current incarnation, or null before the registration. */
    @Volatile
    var incarnation: Long? = null

    /** True once the graceful stop has begun. */
    @Volatile
    var isDraining = false

    /** True while the engine or service answers its health probe. */
    @Volatile
    var isHealthy = false

    /** True while an order keeps the intake closed. */
    @Volatile
    var isClosedByOrder = false

    /** The part of the state that orders change. */
    @Volatile
    var reported = initialState()

    /** True while the upstream accepts new attempts. */
    val isAccepting: Boolean get() = incarnation != null && !isDraining && isHealthy && !isClosedByOrder

    /** Returns the status message for entries. */
    fun toMessage(): UpstreamStatus {
        val currentReport = reported
        val status =
            UpstreamStatus
                .newBuilder()
                .setUpstreamId(settings.upstreamId)
                .setIncarnation(incarnation ?: 0)
                .setRole(currentReport.role)
                .setAccepting(isAccepting)
                .setDraining(isDraining || isClosedByOrder)
                .addAllModels(currentReport.models.map { it.toMessage() })
                .addAllServices(settings.service?.names.orEmpty())
                .setOrderGeneration(currentReport.orderGeneration)
                .setSentAtMs(SystemTimeSource.monotonicMs())
        load()?.let { status.setLoad(it.toMessage()) }
        return status.build()
    }

    private fun initialState(): ReportedState =
        ReportedState(
            role = if (settings.engine != null) UpstreamRole.MIXED else UpstreamRole.SERVICE,
            models = settings.engine?.models.orEmpty().map { ReportedModel(it) },
        )

    private fun ReportedModel.toMessage(): LoadedModel =
        LoadedModel
            .newBuilder()
            .setModel(model)
            .setAdapter(adapter)
            .setVersion(version)
            .build()
}
