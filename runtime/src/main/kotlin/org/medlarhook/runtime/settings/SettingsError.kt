package org.medlarhook.runtime.settings

/**
 * One error in a settings file.
 *
 * @property file the file, or all files joined by ` + ` if the error appears only after merging them.
 * @property path JSON pointer to the wrong value; empty for the whole file.
 * @property found the wrong value, or a description of the error.
 * @property allowed the values allowed there; empty if [found] describes the error by itself.
 */
public data class SettingsError(
    val file: String,
    val path: String,
    val found: String,
    val allowed: String = "",
) {
    /** Returns the error as one line for operators. */
    override fun toString(): String {
        val place = if (path.isEmpty()) file else "$file $path"
        return if (allowed.isEmpty()) "$place: $found" else "$place: found $found, expected $allowed"
    }
}
