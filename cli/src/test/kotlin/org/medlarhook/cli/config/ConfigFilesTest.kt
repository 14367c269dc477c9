package org.medlarhook.cli.config

import arrow.core.Either
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import org.medlarhook.core.config.ConfigDocument
import org.medlarhook.runtime.settings.SettingsError
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ConfigFilesTest {
    @TempDir
    lateinit var directory: Path

    private fun file(name: String, text: String): Path = directory.resolve(name).also { it.writeText(text) }

    private fun errors(base: Path, vararg overlays: Path) =
        assertIs<Either.Left<List<SettingsError>>>(ConfigFiles.load(base, overlays.toList())).value

    @Nested
    inner class Examples {
        @Test
        fun `Given the examples of both deployments, then they are valid and have three sites each`() {
            listOf("brillo", "consortium").forEach { name ->
                val root = Path.of("../examples/$name")
                val sites = root.resolve("sites").listDirectoryEntries("*.json")
                val result = ConfigFiles.load(root.resolve("base.json"), sites)
                val document = assertIs<Either.Right<ConfigDocument>>(result).value
                assertEquals(3, document.sites.size)
                assertEquals(8, document.workspaces.size)
            }
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `Given faults in base and overlays, then all are reported together`() {
            val base = file("base.json", """{"models":[{"name":"m","version":"1"}],"siteDefaults":{"modles":["m"]}}""")
            val first = file("a.json", """{"name":"a"}""")
            val second = file("b.json", """{"name":"b","region":7}""")
            val found = errors(base, first, second).map { Path.of(it.file).fileName.toString() to it.path }
            val expected =
                setOf(
                    "base.json" to "/siteDefaults/modles",
                    "a.json" to "/modles",
                    "a.json" to "/region",
                    "b.json" to "/region",
                )
            assertEquals(expected, found.toSet())
        }

        @Test
        fun `Given a workspace that refers to an undeclared model, then the configuration is invalid`() {
            val base = file("base.json", """{"workspaces":[{"name":"w","models":["absent"]}]}""")
            assertTrue(errors(base).single().found.contains("absent"))
        }
    }
}
