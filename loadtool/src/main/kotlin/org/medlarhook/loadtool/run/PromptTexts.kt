package org.medlarhook.loadtool.run

import kotlin.random.Random

/** Makes texts of a given length that depend on a name only. */
internal class PromptTexts {
    /** A text of about [tokens] tokens. */
    fun text(name: String, tokens: Long): String {
        val random = Random(name.hashCode())
        return buildString { repeat(tokens.toInt()) { append(WORDS[random.nextInt(WORDS.size)]) } }
    }

    private companion object {
        /** Words with their space have four characters, which counts as a token. */
        val WORDS =
            listOf("sun ", "row ", "key ", "box ", "map ", "pin ", "cup ", "arm ", "net ", "oil ", "tap ", "fan ")
    }
}
