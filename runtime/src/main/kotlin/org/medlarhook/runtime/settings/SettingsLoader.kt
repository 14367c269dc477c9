package org.medlarhook.runtime.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Reads settings from one base file and overlays, merged in order as JSON merge patches (RFC 7386). Unknown names are
 * errors. Errors are collected over all files and reported together.
 */
public object SettingsLoader {
    /** Reads, checks and merges [files], the base file first. */
    public fun <T> load(files: List<Path>, serializer: KSerializer<T>): Either<List<SettingsError>, T> {
        val parsed = files.map { file -> file to parse(file) }
        val unreadable = parsed.mapNotNull { (_, result) -> result.leftOrNull() }
        if (unreadable.isNotEmpty()) return unreadable.left()
        val elements = parsed.mapNotNull { (file, result) -> result.getOrNull()?.let { file to it } }
        val errors = shapeErrors(elements, serializer)
        if (errors.isNotEmpty()) return errors.left()
        return decode(elements.map { it.second }.reduce(::mergePatch), names(files), serializer)
    }

    /** Reads one file as JSON. */
    public fun parse(file: Path): Either<SettingsError, JsonElement> =
        try {
            Json.parseToJsonElement(file.readText()).right()
        } catch (e: IOException) {
            SettingsError("$file", "", "the file can't be read (${e.javaClass.simpleName})").left()
        } catch (e: SerializationException) {
            SettingsError("$file", "", e.message.orEmpty().lineSequence().first(), "JSON").left()
        }

    /** Applies a JSON merge patch (RFC 7386): null removes a member, objects are merged, any other value replaces. */
    public fun mergePatch(target: JsonElement, patch: JsonElement): JsonElement {
        if (patch !is JsonObject) return patch
        val merged = (target as? JsonObject).orEmpty().toMutableMap()
        patch.forEach { (name, value) ->
            if (value is JsonNull) {
                merged.remove(name)
            } else {
                merged[name] = mergePatch(merged[name] ?: JsonNull, value)
            }
        }
        return JsonObject(merged)
    }

    private fun <T> shapeErrors(
        elements: List<Pair<Path, JsonElement>>,
        serializer: KSerializer<T>,
    ): List<SettingsError> {
        val fileErrors =
            elements.flatMap { (file, element) ->
                ShapeChecker.check(element, serializer.descriptor, isPartial = true).map { it.inFile("$file") }
            }
        if (fileErrors.isNotEmpty()) return fileErrors
        val merged = elements.map { it.second }.reduce(::mergePatch)
        return ShapeChecker.check(merged, serializer.descriptor).map { it.inFile(names(elements.map { e -> e.first })) }
    }

    private fun ShapeError.inFile(file: String) = SettingsError(file, path, found, allowed)

    private fun names(files: List<Path>) = files.joinToString(" + ")

    private fun <T> decode(
        element: JsonElement,
        file: String,
        serializer: KSerializer<T>,
    ): Either<List<SettingsError>, T> =
        try {
            Json.decodeFromJsonElement(serializer, element).right()
        } catch (e: IllegalArgumentException) {
            listOf(SettingsError(file, "", e.message.orEmpty().lineSequence().first())).left()
        }
}
