package org.medlarhook.standins.platform

import org.medlarhook.ports.ListedVm

/** The VM list, shown as it was [lagMs] ago. */
internal class LaggingVmList(
    private val lagMs: Long,
) {
    private data class Version(
        val sinceMs: Long,
        val vms: Map<String, ListedVm>,
    )

    private var versions = listOf(Version(0, emptyMap()))

    /** Puts [vm] at [nowMs]. */
    @Synchronized
    fun put(vm: ListedVm, nowMs: Long) {
        versions = versions + Version(nowMs, versions.last().vms + (vm.vmId to vm))
    }

    /** Removes a VM at [nowMs]. */
    @Synchronized
    fun remove(vmId: String, nowMs: Long) {
        versions = versions + Version(nowMs, versions.last().vms - vmId)
    }

    /** The list as shown at [nowMs]. */
    @Synchronized
    fun shown(nowMs: Long): List<ListedVm> {
        versions =
            versions.dropWhile {
                it !==
                    versions.last { version -> version.sinceMs <= nowMs - lagMs || version === versions.first() }
            }
        return versions.first().vms.values.toList()
    }
}
