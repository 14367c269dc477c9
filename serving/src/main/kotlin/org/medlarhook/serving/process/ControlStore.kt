package org.medlarhook.serving.process

import arrow.core.Either
import org.medlarhook.core.serving.config.ServingConfig
import org.medlarhook.core.serving.fleet.RegistryUpdate

/** Where configuration and registrations come from. Every call may block up to its wait and the adapter's timeout. */
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
 * A configuration as read.
 *
 * @property config null if there is none, or none that is new.
 * @property problem why the newest one can't be used, if it can't.
 */
public data class ConfigRead(
    val position: Long,
    val config: ServingConfig?,
    val problem: String? = null,
)

/**
 * Registrations as read.
 *
 * @property unreadable ids of registrations that name no upstream.
 */
public data class RegistryRead(
    val position: Long,
    val update: RegistryUpdate,
    val unreadable: List<String> = emptyList(),
)

/** Why the store gave no answer to use. */
public sealed interface StoreFailure {
    /** The history from the given position on is gone: everything has to be read again. */
    public data object HistoryGone : StoreFailure

    /** The store refused or was not reached. */
    public data class Unavailable(
        val detail: String,
    ) : StoreFailure
}
