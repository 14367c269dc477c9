package org.medlarhook.cli.docs

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import org.junit.jupiter.api.Nested
import org.medlarhook.core.result.ResultCode
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.settings.EntrySettings
import org.medlarhook.runtime.settings.SidecarSettings
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.readLines
import kotlin.io.path.writeLines
import kotlin.test.Test
import kotlin.test.assertEquals

/** Compares the tables of the reference pages with the code. The expected rows are also written to `target/docs`. */
@OptIn(ExperimentalSerializationApi::class)
class ReferencePagesTest {
    private fun assertRows(page: String, expected: List<String>) {
        val directory = Path.of("target/docs").createDirectories()
        directory.resolve(page).writeLines(expected)
        val rows = Path.of("../docs/$page").readLines().filter { it.startsWith("| ") }.map { row(it) }
        assertEquals(expected, rows.filter { it in expected || it.startsWith("| `") || it[2].isDigit() })
    }

    /** Returns the columns of a table row that come from the code; further columns of a page are free text. */
    private fun row(line: String): String = line.split(" | ").take(COLUMNS).joinToString(" | ").removeSuffix(" |")

    private fun settingsRows(descriptor: SerialDescriptor, path: String = ""): List<String> =
        (0 until descriptor.elementsCount).flatMap { index ->
            val child = descriptor.getElementDescriptor(index)
            val name = path + descriptor.getElementName(index)
            val isNested = child.kind == StructureKind.CLASS
            val presence = if (descriptor.isElementOptional(index)) "optional" else "required"
            val elementRow = "| `$name` | ${typeName(child)} | $presence"
            listOf(elementRow) + if (isNested) settingsRows(child, "$name.") else emptyList()
        }

    private fun typeName(descriptor: SerialDescriptor): String =
        when (descriptor.kind) {
            StructureKind.CLASS -> "object"
            StructureKind.LIST -> "list"
            StructureKind.MAP -> "map"
            else -> descriptor.serialName.removePrefix("kotlin.").removeSuffix("?").lowercase()
        }

    @Nested
    inner class Pages {
        @Test
        fun `Given the result codes, then the page lists each of them`() =
            assertRows(
                "RESULT-CODES.md",
                ResultCode.entries.sortedBy { it.number }.map { "| ${it.number} | ${it.httpStatus} | ${it.title}" },
            )

        @Test
        fun `Given the log events, then the page lists each of them`() =
            assertRows(
                "LOG-EVENTS.md",
                LogEvent.entries.sortedBy { it.number }.map { "| ${it.number} | ${it.name} | ${it.message}" },
            )

        @Test
        fun `Given the settings of an entry, then the page lists each of them`() =
            assertRows("SETTINGS-ENTRY.md", settingsRows(EntrySettings.serializer().descriptor))

        @Test
        fun `Given the settings of a sidecar, then the page lists each of them`() =
            assertRows("SETTINGS-SIDECAR.md", settingsRows(SidecarSettings.serializer().descriptor))
    }

    private companion object {
        const val COLUMNS = 3
    }
}
