package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.RegistryPosition

/**
 * A successful read of the registry.
 *
 * @property begunAtMs when it began.
 * @property position what it shows the registry as of, or null if the store's era was not known when it began.
 */
internal data class RegistryReading(
    val begunAtMs: Long,
    val position: RegistryPosition? = null,
)
