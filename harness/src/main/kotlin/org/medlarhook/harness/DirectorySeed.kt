package org.medlarhook.harness

import arrow.core.getOrElse
import kotlinx.serialization.json.Json
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryEntity
import org.medlarhook.core.directory.KeyGrant
import org.medlarhook.platform.Condition
import org.medlarhook.platform.RowKey
import org.medlarhook.platform.TableNames
import org.medlarhook.platform.Transaction
import org.medlarhook.platform.Write
import org.medlarhook.runtime.platform.HttpTableService
import org.medlarhook.runtime.platform.PlatformHttp
import java.security.MessageDigest

/** Writes directory changes straight into the tables of a test fleet. */
public class DirectorySeed(
    platformUrl: String,
) {
    private val tables = HttpTableService(PlatformHttp(platformUrl, CALL_TIMEOUT_MS))
    private var version = 0L

    /** Appends one change with [entities]. */
    public fun put(vararg entities: DirectoryEntity) {
        version++
        val change = DirectoryChange(version, "seed", 0, puts = entities.toList())
        val key = RowKey(TableNames.DIRECTORY_CHANGE, version.toString().padStart(VERSION_DIGITS, '0'))
        val head = RowKey(TableNames.DIRECTORY_HEAD, "head")
        val writes =
            listOf(
                Write(key, Json.encodeToString(DirectoryChange.serializer(), change)),
                Write(head, version.toString()),
            )
        tables
            .transact(Transaction(listOf(Condition(key, Condition.ABSENT)), writes))
            .getOrElse { error("the directory could not be written: $it") }
    }

    /** The grant for [presentedKey], in the form `id.secret`. */
    public fun grant(presentedKey: String, workspace: String, withdrawn: Boolean = false): KeyGrant {
        val salt = "00"
        val digest = MessageDigest.getInstance("SHA-256").digest((salt + presentedKey).encodeToByteArray())
        val hex = digest.joinToString("") { "%02x".format(it) }
        return KeyGrant(presentedKey.substringBefore('.'), workspace, salt, hex, withdrawn)
    }

    private companion object {
        const val CALL_TIMEOUT_MS = 2_000L
        const val VERSION_DIGITS = 19
    }
}
