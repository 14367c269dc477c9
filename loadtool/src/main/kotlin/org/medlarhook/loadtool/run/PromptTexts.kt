package org.medlarhook.loadtool.run

import kotlin.random.Random

/** Generates prompt texts. The same name and length always give the same text. */
internal class PromptTexts {
    /** A text of about [tokens] tokens, which is determined by [seedName]. */
    fun text(seedName: String, tokens: Long): String {
        val random = Random(seedName.hashCode())
        return buildString { repeat(tokens.toInt()) { append(WORDS[random.nextInt(WORDS.size)]) } }
    }

    private companion object {
        /** Words of four characters with their space; four characters are counted as one token. */
        val WORDS =
            listOf("sun ", "row ", "key ", "box ", "map ", "pin ", "cup ", "arm ", "net ", "oil ", "tap ", "fan ")
    }
}
