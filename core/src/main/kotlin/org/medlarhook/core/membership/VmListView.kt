package org.medlarhook.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.medlarhook.ports.ListedVm

/**
 * The state of VMs according to the platform's list, which lags behind.
 *
 * A VM counts as dropped if it was listed before and no longer is, or if it is still not listed [LIST_LAG_MS] after
 * this process learned of it. Once a VM is listed as leaving, that never changes.
 *
 * @property listed the VMs of the newest list.
 * @property leaving the VMs that any list so far has marked as leaving.
 * @property droppedAtMs when this process read the first list that no longer contained the VM.
 * @property readAtMs when the newest list was read, or null.
 */
public data class VmListView(
    val listed: PersistentSet<String> = persistentSetOf(),
    val leaving: PersistentSet<String> = persistentSetOf(),
    val droppedAtMs: PersistentMap<String, Long> = persistentMapOf(),
    val readAtMs: Long? = null,
) {
    /** Returns the view after a list was read at [nowMs]. */
    public fun update(vms: List<ListedVm>, nowMs: Long): VmListView {
        val now = vms.map { it.vmId }.toPersistentSet()
        val dropped = listed.filterNot { it in now }
        val relisted = droppedAtMs.keys.filter { it in now }
        return VmListView(
            listed = now,
            leaving = leaving.addAll(vms.filter { it.leaving }.map { it.vmId }),
            droppedAtMs = droppedAtMs.putAll(dropped.associateWith { nowMs }).minusAll(relisted),
            readAtMs = nowMs,
        )
    }

    /** Returns when the VM, known since [knownSinceMs], was found dropped, or null if it may be running. */
    public fun droppedAtMs(vmId: String, knownSinceMs: Long): Long? {
        val lastReadMs = readAtMs ?: return null
        val neverListed = vmId !in listed && lastReadMs - knownSinceMs >= LIST_LAG_MS
        return droppedAtMs[vmId] ?: lastReadMs.takeIf { neverListed }
    }

    /** True if the platform has announced that it will stop the VM. */
    public fun isLeaving(vmId: String): Boolean = vmId in leaving

    private fun PersistentMap<String, Long>.minusAll(keys: List<String>) = keys.fold(this) { map, key ->
        map.remove(key)
    }

    public companion object {
        /** Maximum lag of the platform's list behind the start of a VM. */
        public const val LIST_LAG_MS: Long = 600_000
    }
}
