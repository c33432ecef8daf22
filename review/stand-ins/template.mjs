// Fills the template of the settings as the platform does: gaps, lists, conditions.
const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/

/** Returns the text with every gap filled from the fields. */
export function fillTemplate(text, fields) {
  const found = SECTION.exec(text)
  if (found === null) return fillGaps(text, fields)
  const [whole, path, inner] = found
  const before = fillGaps(text.slice(0, found.index), fields)
  const after = fillTemplate(text.slice(found.index + whole.length), fields)
  return before + fillSection(inner, lookUp(fields, path), fields) + after
}

function fillSection(inner, value, fields) {
  if (value === undefined || value === null || value === false) return ''
  if (typeof value !== 'object') return fillTemplate(inner, { ...fields, '.': value })
  return Object.entries(value)
    .map(([key, entry]) => fillTemplate(inner, { ...fields, '.': entry, '@': key }))
    .join('')
}

function fillGaps(text, fields) {
  return text.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = lookUp(fields, path)
    if (json !== undefined) return JSON.stringify(value)
    if (value === undefined || value === null) return ''
    return typeof value === 'object' ? JSON.stringify(value) : String(value)
  })
}

function lookUp(fields, path) {
  if (path === '.' || path === '@') return fields[path]
  return path.split('.').reduce((value, name) => value?.[name], fields)
}
