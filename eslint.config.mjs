import tseslint from 'typescript-eslint'

export default tseslint.config(
  { ignores: ['dist*/**', 'target/**', 'journal/**', '**/node_modules/**'] },
  ...tseslint.configs.recommended,
  {
    rules: {
      'max-lines': ['error', { max: 350, skipComments: false }],
      'no-restricted-syntax': [
        'error',
        { selector: 'ExportDefaultDeclaration', message: 'Named exports only.' },
      ],
      'no-restricted-imports': ['error', { paths: ['node:cluster', 'cluster'] }],
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      eqeqeq: 'error',
    },
  },
  // CommonJS: what starts a process must not wait for the loader of ES modules.
  { files: ['**/*.cjs'], rules: { '@typescript-eslint/no-require-imports': 'off' } },
  { files: ['*.mjs', '*.config.ts'], rules: { 'no-restricted-syntax': 'off' } },
)
