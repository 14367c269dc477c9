package org.medlarhook.runtime.settings

/**
 * One difference between JSON and its expected structure.
 *
 * @property path JSON pointer to the wrong value.
 * @property found the value at [path], or a description of it.
 * @property allowed the values allowed at [path].
 */
public data class ShapeError(
    val path: String,
    val found: String,
    val allowed: String,
)
