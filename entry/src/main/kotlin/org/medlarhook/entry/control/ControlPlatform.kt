package org.medlarhook.entry.control

import org.medlarhook.platform.TableService
import org.medlarhook.platform.UpstreamOrdering
import org.medlarhook.platform.UsageReporting

/** The platform's services that control works with. */
internal class ControlPlatform(
    val tables: TableService,
    val ordering: UpstreamOrdering,
    val reporting: UsageReporting,
)
