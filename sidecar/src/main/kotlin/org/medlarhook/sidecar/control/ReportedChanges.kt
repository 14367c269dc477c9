package org.medlarhook.sidecar.control

import org.medlarhook.core.order.OrderAction
import org.medlarhook.protocol.UpstreamRole
import org.medlarhook.sidecar.status.ReportedModel
import org.medlarhook.sidecar.status.ReportedState

/** Returns the state to report to entries once [action] has been applied. */
internal fun ReportedState.withApplied(action: OrderAction): ReportedState =
    when (action) {
        is OrderAction.LoadModel ->
            copy(
                models =
                    models.filterNot { it.isModel(action.model) } + ReportedModel(action.model, "", action.version),
            )
        is OrderAction.LoadAdapter -> {
            val loaded = ReportedModel(action.model, action.adapter, action.version)
            copy(models = models.filterNot { it.model == loaded.model && it.adapter == loaded.adapter } + loaded)
        }
        is OrderAction.UnloadModel -> copy(models = models.filterNot { it.model == action.model })
        is OrderAction.SetRole -> copy(role = UpstreamRole.valueOf(action.role.name))
        is OrderAction.Drain, is OrderAction.Resume -> this
    }

private fun ReportedModel.isModel(name: String): Boolean = model == name && adapter.isEmpty()
