package org.medlarhook.standins.platform

import org.medlarhook.ports.ListedVm

/** The VM list of the platform stand-in. Readers get the list as it was [lagMs] ago. */
internal class LaggingVmList(
    private val lagMs: Long,
) {
    private data class Version(
        val sinceMs: Long,
        val vms: Map<String, ListedVm>,
    )

    private var versions = listOf(Version(0, emptyMap()))

    /** Adds or replaces [vm]; readers see the change from [nowMs] plus the lag on. */
    @Synchronized
    fun put(vm: ListedVm, nowMs: Long) {
        versions = versions + Version(nowMs, versions.last().vms + (vm.vmId to vm))
    }

    /** Removes the VM [vmId]; readers see the change from [nowMs] plus the lag on. */
    @Synchronized
    fun remove(vmId: String, nowMs: Long) {
        versions = versions + Version(nowMs, versions.last().vms - vmId)
    }

    /** Returns the list that readers see at [nowMs], and drops older versions. */
    @Synchronized
    fun visibleAt(nowMs: Long): List<ListedVm> {
        versions =
            versions.dropWhile {
                it !==
                    versions.last { version -> version.sinceMs <= nowMs - lagMs || version === versions.first() }
            }
        return versions.first().vms.values.toList()
    }
}
