package org.medlarhook.runtime.settings

/**
 * One fault of a settings file.
 *
 * @property file the file, or several if the fault shows only in what they make together.
 * @property path where in the file, as a JSON pointer; empty for the whole file.
 * @property found what is wrong.
 * @property allowed what is allowed; empty where that can't be said.
 */
public data class SettingsError(
    val file: String,
    val path: String,
    val found: String,
    val allowed: String = "",
) {
    /** One line for people. */
    override fun toString(): String {
        val place = if (path.isEmpty()) file else "$file $path"
        return if (allowed.isEmpty()) "$place: $found" else "$place: found $found; allowed is $allowed"
    }
}
