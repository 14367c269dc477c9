package org.medlarhook.serving.process

import arrow.core.Either
import org.medlarhook.core.serving.config.ServingConfig
import org.medlarhook.core.serving.fleet.RegistryUpdate

/** Reads the configuration and the registrations. Each call may block for its wait plus the adapter's timeout. */
public interface ControlStore {
    /** Reads the newest configuration. */
    public fun readConfig(): Either<StoreFailure, ConfigRead>

    /** Waits up to [waitMs] for a configuration written after [position]. */
    public fun awaitConfig(position: Long, waitMs: Long): Either<StoreFailure, ConfigRead>

    /** Lists all registrations. */
    public fun listUpstreams(): Either<StoreFailure, RegistryRead>

    /** Waits up to [waitMs] for registrations that change after [position]. */
    public fun awaitUpstreams(position: Long, waitMs: Long): Either<StoreFailure, RegistryRead>
}

/**
 * The result of reading the configuration.
 *
 * @property position where the next wait for changes begins.
 * @property config null if there is none, or none after the given position.
 * @property problem why the newest configuration can't be used, or null if it can.
 */
public data class ConfigRead(
    val position: Long,
    val config: ServingConfig?,
    val problem: String? = null,
)

/**
 * The result of reading registrations.
 *
 * @property position where the next wait for changes begins.
 * @property unreadable registrations that can't be decoded.
 */
public data class RegistryRead(
    val position: Long,
    val update: RegistryUpdate,
    val unreadable: List<UnreadableRegistration> = emptyList(),
)

/** The registration under [id], which can't be decoded for [cause] and names no upstream. */
public data class UnreadableRegistration(
    val id: String,
    val cause: String,
)

/** Why a read from the store failed. */
public sealed interface StoreFailure {
    /** The store no longer has the changes after the given position: the table has to be read whole again. */
    public data object HistoryGone : StoreFailure

    /** The store refused the call or could not be reached. */
    public data class Unavailable(
        val detail: String,
    ) : StoreFailure
}
