// Fills a settings template as the platform's pages describe it: values, values as JSON, and sections.

const TAG = /\{\{([#^/]?)([^}|]+)(\|json)?\}\}/g

/** Returns the template's text with the fields of a process. */
export function fillTemplate(text, fields) {
  const { nodes } = parse(tokens(text), 0, undefined)
  return render(nodes, [{ value: fields, key: '' }])
}

function tokens(text) {
  const found = []
  let at = 0
  for (const match of text.matchAll(TAG)) {
    found.push({ text: text.slice(at, match.index) })
    found.push({ mark: match[1], name: match[2].trim(), json: match[3] !== undefined })
    at = match.index + match[0].length
  }
  return [...found, { text: text.slice(at) }]
}

function parse(list, start, section) {
  const nodes = []
  for (let index = start; index < list.length; index += 1) {
    const token = list[index]
    if (token.mark === '/') {
      if (token.name !== section) throw new Error(`the template closes ${token.name} inside ${section}`)
      return { nodes, end: index }
    }
    if (token.mark === '#' || token.mark === '^') {
      const inner = parse(list, index + 1, token.name)
      nodes.push({ ...token, nodes: inner.nodes })
      index = inner.end
    } else nodes.push(token)
  }
  return { nodes, end: list.length }
}

function render(nodes, scopes) {
  return nodes.map((node) => renderOne(node, scopes)).join('')
}

function renderOne(node, scopes) {
  if (node.text !== undefined) return node.text
  const value = lookUp(node.name, scopes)
  const isGiven = value !== undefined && value !== null && value !== false
  if (node.mark === '^') return isGiven ? '' : render(node.nodes, scopes)
  if (node.mark !== '#') return node.json ? JSON.stringify(value ?? null) : plain(value)
  if (!isGiven) return ''
  const entries = typeof value === 'object' ? Object.entries(value) : [['', value]]
  return entries.map(([key, one]) => render(node.nodes, [{ value: one, key }, ...scopes])).join('')
}

function lookUp(name, scopes) {
  if (name === '.') return scopes[0].value
  if (name === '@') return scopes[0].key
  for (const { value } of scopes) {
    const found = name.split('.').reduce((from, part) => from?.[part], Object(value))
    if (found !== undefined) return found
  }
  return undefined
}

function plain(value) {
  if (value === undefined || value === null) return ''
  if (Array.isArray(value)) return value.join(',')
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}
