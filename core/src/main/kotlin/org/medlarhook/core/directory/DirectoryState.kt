package org.medlarhook.core.directory

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * The whole configuration at one version. Versions only grow.
 *
 * @property retiredKeyIds identifiers of keys that were withdrawn or deleted; none of them becomes valid again.
 */
public data class DirectoryState(
    val version: Long = 0,
    val workspaces: PersistentMap<String, Workspace> = persistentMapOf(),
    val keys: PersistentMap<String, KeyGrant> = persistentMapOf(),
    val models: PersistentMap<String, ModelDeclaration> = persistentMapOf(),
    val services: PersistentMap<String, ServiceDeclaration> = persistentMapOf(),
    val sites: PersistentMap<String, Site> = persistentMapOf(),
    val retiredKeyIds: PersistentSet<String> = persistentSetOf(),
) {
    /** Returns the state after [change], or a failure unless its version is the next one. */
    public fun apply(change: DirectoryChange): Either<ApplyFailure, DirectoryState> =
        when {
            change.version <= version -> ApplyFailure.Older(change.version).left()
            change.version > version + 1 -> ApplyFailure.Gap(version + 1, change.version).left()
            else -> applyNext(change).right()
        }

    /** Returns the state after those of [changes] that follow without a gap. Changes already applied are skipped. */
    public fun applyAll(changes: List<DirectoryChange>): DirectoryState =
        changes.fold(this) { state, change -> state.apply(change).getOrNull() ?: state }

    /** Returns the objects of all kinds, in no particular order. */
    public fun entities(): List<DirectoryEntity> =
        workspaces.values + keys.values + models.values + services.values + sites.values

    private fun applyNext(change: DirectoryChange): DirectoryState {
        val withPuts = change.puts.fold(this) { state, entity -> state.put(entity) }
        val withDeletes = change.deletes.fold(withPuts) { state, ref -> state.delete(ref) }
        return withDeletes.copy(version = change.version)
    }

    internal fun put(entity: DirectoryEntity): DirectoryState =
        when (entity) {
            is Workspace -> copy(workspaces = workspaces.put(entity.name, entity))
            is KeyGrant -> putKey(entity)
            is ModelDeclaration -> copy(models = models.put(entity.name, entity))
            is ServiceDeclaration -> copy(services = services.put(entity.name, entity))
            is Site -> copy(sites = sites.put(entity.name, entity))
        }

    private fun putKey(grant: KeyGrant): DirectoryState {
        val withdrawn = grant.withdrawn || grant.name in retiredKeyIds
        return copy(
            keys = keys.put(grant.name, grant.copy(withdrawn = withdrawn)),
            retiredKeyIds = if (withdrawn) retiredKeyIds.add(grant.name) else retiredKeyIds,
        )
    }

    private fun delete(ref: EntityRef): DirectoryState =
        when (EntityKind.of(ref.kind)) {
            EntityKind.WORKSPACE -> copy(workspaces = workspaces.remove(ref.name))
            EntityKind.KEY -> copy(keys = keys.remove(ref.name), retiredKeyIds = retiredKeyIds.add(ref.name))
            EntityKind.MODEL -> copy(models = models.remove(ref.name))
            EntityKind.SERVICE -> copy(services = services.remove(ref.name))
            EntityKind.SITE -> copy(sites = sites.remove(ref.name))
            null -> this
        }
}
