package org.medlarhook.core.key

/**
 * A key as a caller presents it: `mh_<id>.<secret>`. Its text never shows in logs.
 *
 * @property id the public identifier.
 */
public class PresentedKey private constructor(
    public val id: String,
    internal val text: String,
) {
    override fun toString(): String = "$PREFIX$id.***"

    public companion object {
        internal const val PREFIX = "mh_"
        private const val MAX_LENGTH = 200
        private val PATTERN = Regex("""mh_([a-z0-9]{1,64})\.([A-Za-z0-9_-]{16,128})""")

        /** Reads [text], or returns null if it has not the form of a key. */
        public fun parse(text: String): PresentedKey? {
            if (text.length > MAX_LENGTH) return null
            val match = PATTERN.matchEntire(text) ?: return null
            return PresentedKey(match.groupValues[1], text)
        }
    }
}
