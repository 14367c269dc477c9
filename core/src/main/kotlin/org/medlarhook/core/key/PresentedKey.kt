package org.medlarhook.core.key

/**
 * A key as a caller presents it: `mh_<id>.<secret>`. [toString] omits the secret, so logs never contain it.
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

        /** Parses [text], or returns null if it does not have the form of a key. */
        public fun parse(text: String): PresentedKey? {
            if (text.length > MAX_LENGTH) return null
            val match = PATTERN.matchEntire(text) ?: return null
            return PresentedKey(match.groupValues[1], text)
        }
    }
}
