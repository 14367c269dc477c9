package org.medlarhook.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.medlarhook.ports.ListedVm

/**
 * What the platform's lagging list of VMs has told this process so far.
 *
 * A VM counts as dropped if it was listed before and no longer is, or if it is still not listed
 * [LIST_LAG_MS] after this process first heard of it. A VM that is being stopped is never listed as staying again.
 *
 * @property listed the VMs of the newest list.
 * @property leaving the VMs that any list named as leaving.
 * @property droppedAtMs when this process read the first list without the VM.
 * @property readAtMs when the newest list was read, or null.
 */
public data class VmListView(
    val listed: PersistentSet<String> = persistentSetOf(),
    val leaving: PersistentSet<String> = persistentSetOf(),
    val droppedAtMs: PersistentMap<String, Long> = persistentMapOf(),
    val readAtMs: Long? = null,
) {
    /** Takes in a list that was read at [nowMs]. */
    public fun update(vms: List<ListedVm>, nowMs: Long): VmListView {
        val now = vms.map { it.vmId }.toPersistentSet()
        val gone = listed.filterNot { it in now }
        val back = droppedAtMs.keys.filter { it in now }
        return VmListView(
            listed = now,
            leaving = leaving.addAll(vms.filter { it.leaving }.map { it.vmId }),
            droppedAtMs = droppedAtMs.putAll(gone.associateWith { nowMs }).minusAll(back),
            readAtMs = nowMs,
        )
    }

    /** Returns when the VM, known since [knownSinceMs], was first seen as dropped, or null if it may be running. */
    public fun droppedAtMs(vmId: String, knownSinceMs: Long): Long? {
        val lastReadMs = readAtMs ?: return null
        val neverListed = vmId !in listed && lastReadMs - knownSinceMs >= LIST_LAG_MS
        return droppedAtMs[vmId] ?: lastReadMs.takeIf { neverListed }
    }

    /** True if the platform has said that the VM will be stopped. */
    public fun isLeaving(vmId: String): Boolean = vmId in leaving

    private fun PersistentMap<String, Long>.minusAll(keys: List<String>) = keys.fold(this) { map, key ->
        map.remove(key)
    }

    public companion object {
        /** By how much the platform's list may lag behind the start of a VM. */
        public const val LIST_LAG_MS: Long = 600_000
    }
}
