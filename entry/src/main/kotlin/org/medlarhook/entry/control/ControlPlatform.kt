package org.medlarhook.entry.control

import org.medlarhook.ports.TableService
import org.medlarhook.ports.UpstreamOrdering
import org.medlarhook.ports.UsageReporting

/** The services of the platform that the control part of an entry uses. */
internal class ControlPlatform(
    val tables: TableService,
    val ordering: UpstreamOrdering,
    val reporting: UsageReporting,
)
