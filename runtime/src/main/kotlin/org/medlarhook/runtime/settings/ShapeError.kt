package org.medlarhook.runtime.settings

/**
 * One difference of JSON from its expected shape.
 *
 * @property path where, as a JSON pointer.
 * @property found what stands there.
 * @property allowed what may stand there.
 */
public data class ShapeError(
    val path: String,
    val found: String,
    val allowed: String,
)
