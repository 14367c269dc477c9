package org.medlarhook.entry.control

import org.medlarhook.ports.TableService
import org.medlarhook.ports.UpstreamOrdering
import org.medlarhook.ports.UsageReporting

/** The platform's services that control works with. */
internal class ControlPlatform(
    val tables: TableService,
    val ordering: UpstreamOrdering,
    val reporting: UsageReporting,
)
