package org.medlarhook.entry.directory

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryEntity
import org.medlarhook.core.directory.EntityRef
import org.medlarhook.core.directory.KeyGrant
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.Site
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.platform.TableNames
import org.medlarhook.platform.TableService
import java.security.MessageDigest

/** A directory that follows the change log of the tables by polling. */
internal class PolledDirectory(
    private val tables: TableService,
) : DirectoryView {
    @Volatile
    private var entities: Map<EntityRef, DirectoryEntity> = emptyMap()

    @Volatile
    override var version: Long = 0
        private set

    /** Reads the changes that are new and applies them. */
    fun poll() {
        val after = if (version == 0L) "" else version.toString().padStart(VERSION_DIGITS, '0')
        tables.scan(TableNames.DIRECTORY_CHANGE, afterKey = after).onRight { rows ->
            rows.forEach { apply(Json.decodeFromString(DirectoryChange.serializer(), it.value)) }
        }
    }

    override fun authenticate(presentedKey: String, nowMs: Long): Either<Failure, Workspace> {
        val invalid = Failure(ResultCode.KEY_INVALID, RunState.NOT_RUN).left()
        val grant = entities[EntityRef("key", presentedKey.substringBefore('.'))] as? KeyGrant ?: return invalid
        if (grant.withdrawn || !grant.matches(presentedKey)) return invalid
        return (entities[EntityRef("workspace", grant.workspace)] as? Workspace)?.right() ?: invalid
    }

    override fun model(name: String): ModelDeclaration? = entities[EntityRef("model", name)] as? ModelDeclaration

    override fun models(): List<ModelDeclaration> = entities.values.filterIsInstance<ModelDeclaration>()

    override fun service(name: String): ServiceDeclaration? =
        entities[EntityRef("service", name)] as? ServiceDeclaration

    private fun apply(change: DirectoryChange) {
        if (change.version != version + 1) return
        entities = entities - change.deletes.toSet() + change.puts.associateBy { it.ref() }
        version = change.version
    }

    private fun DirectoryEntity.ref(): EntityRef =
        when (this) {
            is Workspace -> EntityRef("workspace", name)
            is KeyGrant -> EntityRef("key", name)
            is ModelDeclaration -> EntityRef("model", name)
            is ServiceDeclaration -> EntityRef("service", name)
            is Site -> EntityRef("site", name)
        }

    private fun KeyGrant.matches(presentedKey: String): Boolean {
        val digest = MessageDigest.getInstance("SHA-256").digest((saltHex + presentedKey).encodeToByteArray())
        return MessageDigest.isEqual(digest.toHex().encodeToByteArray(), digestHex.encodeToByteArray())
    }

    private fun ByteArray.toHex(): String = joinToString("") { "%02x".format(it) }

    private companion object {
        const val VERSION_DIGITS = 19
    }
}
