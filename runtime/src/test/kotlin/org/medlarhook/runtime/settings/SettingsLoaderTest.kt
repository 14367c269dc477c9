package org.medlarhook.runtime.settings

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class SettingsLoaderTest {
    @TempDir
    lateinit var directory: Path

    private fun file(name: String, text: String): Path = directory.resolve(name).also { it.writeText(text) }

    private fun load(vararg files: Path) = SettingsLoader.load(files.toList(), EntrySettings.serializer())

    private fun paths(result: Either<List<SettingsError>, EntrySettings>) =
        assertIs<Either.Left<List<SettingsError>>>(result).value.map { it.path }

    private fun base() =
        file(
            "base.json",
            """{"entryId":"e1","vmId":"vm1","dataCentre":"d1","region":"r1","callers":{"port":1},
               "operators":{"port":2},"peers":{"port":3},"platform":{"url":"http://127.0.0.1:4"}}""",
        )

    @Nested
    inner class Overlays {
        @Test
        fun `Given an overlay, then its values replace those of the base file and null removes a value`() {
            val overlay = file("overlay.json", """{"region":"r2","callers":{"host":null,"port":9}}""")
            val settings = assertIs<Either.Right<EntrySettings>>(load(base(), overlay)).value
            assertEquals("r2", settings.region)
            assertEquals(ListenAddress(port = 9), settings.callers)
        }

        @Test
        fun `Given cases of RFC 7386, then the merged values are those of the RFC`() {
            val cases =
                listOf(
                    listOf("""{"a":"b"}""", """{"a":"c"}""", """{"a":"c"}"""),
                    listOf("""{"a":"b","b":"c"}""", """{"a":null}""", """{"b":"c"}"""),
                    listOf("""{"a":["b"]}""", """{"a":"c"}""", """{"a":"c"}"""),
                    listOf("""{"a":{"b":"c"}}""", """{"a":{"b":"d","c":null}}""", """{"a":{"b":"d"}}"""),
                    listOf("""["a","b"]""", """["c","d"]""", """["c","d"]"""),
                    listOf("""{"e":null}""", """{"a":1}""", """{"e":null,"a":1}"""),
                    listOf("""{}""", """{"a":{"bb":{"ccc":null}}}""", """{"a":{"bb":{}}}"""),
                ).map { case -> case.map { Json.parseToJsonElement(it) } }
            cases.forEach { (target, patch, expected) ->
                assertEquals(expected, SettingsLoader.mergePatch(target, patch))
            }
        }
    }

    @Nested
    inner class Errors {
        @Test
        fun `Given several errors, then each is reported with file, path and the allowed values`() {
            val overlay = file("overlay.json", """{"regoin":"r2","callers":{"port":"nine"},"limits":[]}""")
            val result = load(base(), overlay)
            assertEquals(setOf("/regoin", "/callers/port", "/limits"), paths(result).toSet())
            val errors = assertIs<Either.Left<List<SettingsError>>>(result).value
            assertTrue(errors.all { it.file.endsWith("overlay.json") && it.allowed.isNotEmpty() })
        }

        @Test
        fun `Given a required value missing after the merge, then its path is reported`() {
            val overlay = file("overlay.json", """{"platform":null}""")
            assertEquals(listOf("/platform"), paths(load(base(), overlay)))
        }

        @Test
        fun `Given a file that is not JSON and one that does not exist, then both are reported`() {
            val broken = file("broken.json", """{"a":""")
            val result = load(broken, directory.resolve("absent.json"))
            val files = assertIs<Either.Left<List<SettingsError>>>(result).value.map {
                Path.of(it.file).fileName.toString()
            }
            assertEquals(listOf("broken.json", "absent.json"), files)
        }
    }
}
