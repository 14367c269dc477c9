package org.medlarhook.core.directory

import org.medlarhook.core.key.IssuedKey
import org.medlarhook.core.key.KeyIssuer

/** Builds directory changes, keys and states for tests. */
object Changes {
    fun put(
        version: Long,
        vararg puts: DirectoryEntity,
        nonce: String = "n$version",
    ) = DirectoryChange(version, "op", acceptedAtMs = 0, puts = puts.toList(), nonce = nonce)

    fun delete(
        version: Long,
        kind: EntityKind,
        name: String,
    ) = DirectoryChange(version, "op", acceptedAtMs = 0, deletes = listOf(EntityRef(kind.label, name)))

    fun key(workspace: String = "acme"): IssuedKey = KeyIssuer().issue(workspace)

    fun state(vararg changes: DirectoryChange) = DirectoryState().applyAll(changes.toList())
}
