package org.medlarhook.core.row

import kotlinx.serialization.json.Json
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class JsonGuardFuzz {
    private val guard = JsonGuard(maxChars = 200_000)

    /** Runs [task] with as small a stack as the processes have. */
    private fun <T> onSmallStack(task: () -> T): T {
        var result: Result<T>? = null
        Thread(null, { result = runCatching(task) }, "small-stack", 256L * 1024).apply { start() }.join()
        return assertNotNull(result).getOrThrow()
    }

    private val scalars =
        listOf(
            "true",
            "false",
            "null",
            "0",
            "-0",
            "1.5",
            "-2e10",
            "3E-7",
            "${Long.MIN_VALUE}",
            "\"\"",
            "\"\\u00e9\\n\\\"\"",
        )

    private fun document(random: Random, depth: Int = 0): String {
        val blank = listOf("", " ", "\n\t").random(random)
        val members = List(random.nextInt(4)) { it }
        return when (if (depth > 8) 0 else random.nextInt(4)) {
            0 -> scalars.random(random)
            1 -> Json.encodeToString(String(CharArray(random.nextInt(9)) { random.nextInt(0xd800).toChar() }))
            2 -> members.joinToString("$blank,", "[$blank", "$blank]") { document(random, depth + 1) }
            else -> members.joinToString(",", "{", "}") { "\"f$it\"$blank:$blank${document(random, depth + 1)}" }
        }
    }

    @Provide
    fun documents(): Arbitrary<String> = Arbitraries.longs().map { document(Random(it)) }

    @Property(seed = "911", tries = 2_000)
    fun `Given a document within the limits, then it is accepted`(
        @ForAll("documents") text: String,
    ) {
        assertNull(guard.problemOf(text), text)
    }

    @Provide
    fun texts(): Arbitrary<String> {
        val pieces = Arbitraries.of(
            "[",
            "]",
            "{",
            "}",
            ",",
            ":",
            "\"",
            "\\",
            "\\u",
            "\"a\":",
            "1",
            "tru",
            "e",
            " ",
            "\u0001",
            "-",
            ".",
        )
        val depths = Arbitraries.integers().between(1, 100_000)
        val nested = depths.flatMap { depth ->
            Arbitraries.of("[", "{\"a\":", "[[{\"b\":[").map {
                it.repeat(
                    depth / it.length + 1,
                )
            }
        }
        val damaged =
            documents().flatMap { text ->
                Arbitraries.integers().between(0, text.length).flatMap { at ->
                    pieces.map { text.replaceRange(at, at, it) }
                }
            }
        return Arbitraries.oneOf(
            listOf(damaged, nested, pieces.list().ofMaxSize(30).map { it.joinToString("") }, Arbitraries.strings()),
        )
    }

    @Property(seed = "912", tries = 5_000)
    fun `Given any text, then it is refused, or a parser accepts it on a small stack`(
        @ForAll("texts") text: String,
    ) {
        onSmallStack { if (guard.problemOf(text) == null) Json.parseToJsonElement(text) }
    }

    @Property(seed = "913", tries = 200)
    fun `Given nested arrays and objects, then they are accepted up to the greatest depth`(
        @ForAll("depths") depth: Int,
    ) {
        val arrays = "[".repeat(depth) + "]".repeat(depth)
        val objects = "{\"a\":".repeat(depth) + "1" + "}".repeat(depth)
        listOf(arrays, objects).forEach { text ->
            assertEquals(depth <= 32 && text.length <= 200_000, guard.problemOf(text) == null, "depth $depth")
        }
    }

    @Provide
    fun depths(): Arbitrary<Int> =
        Arbitraries.oneOf(listOf(Arbitraries.integers().between(1, 40), Arbitraries.integers().between(1, 100_000)))

    @Property(tries = 1)
    fun `Given a repeated field, then it is refused, also if one name is escaped`() {
        listOf("""{"a":1,"a":2}""", """{"a":1,"\u0061":2}""", """[{"b":{"a":1,"a":2}}]""").forEach { text ->
            assertTrue("appears twice" in assertNotNull(guard.problemOf(text)), text)
        }
        assertNull(guard.problemOf("""{"a":{"a":1},"b":{"a":1}}"""))
    }
}
