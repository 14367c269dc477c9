package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.RegistryPosition

/** Asks the store whether the registry has changed. */
internal fun interface RegistryCheck {
    /** Begins a read of what changed after [from]; calls [onRead] once on the event loop, with null if it failed. */
    fun changesAfter(from: RegistryPosition, onRead: (CheckedRegistry?) -> Unit)
}

/**
 * The result of a [RegistryCheck].
 *
 * @property begunAtMs when the read began.
 * @property position up to where it shows changes.
 * @property hasChanged true if there are changes, which the feed of the registry brings too.
 */
internal data class CheckedRegistry(
    val begunAtMs: Long,
    val position: RegistryPosition,
    val hasChanged: Boolean,
)
